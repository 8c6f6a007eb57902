#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace monsoonlift::execution {

/// A backend server's answer, stored for resends of the same key.
struct stored_answer {
    struct header {
        std::string name;
        std::string value;
    };

    unsigned status = 0;
    std::string reason;
    std::vector<header> headers;
    std::string body;
};

/// Approximate memory size of an answer in bytes.
[[nodiscard]] inline std::size_t size_of(const stored_answer& answer) {
    std::size_t bytes = sizeof(answer) + answer.reason.size() + answer.body.size();
    for (const stored_answer::header& one : answer.headers) {
        bytes += sizeof(one) + one.name.size() + one.value.size();
    }
    return bytes;
}

} // namespace monsoonlift::execution
