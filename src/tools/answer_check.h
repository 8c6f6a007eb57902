#pragma once

#include "tools/types/scenario.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// Properties of a request that its answer is checked against.
struct expected_answer {
    std::string token;
    std::uint64_t request_length = 0;
    std::string request_sha256;
    std::uint64_t response_bytes = 0; ///< Length of the answer's body; 0 if the JSON summary is expected.
};

/// Returns whether `body` is the complete answer to the request that `expected` describes.
[[nodiscard]] bool is_expected(const expected_answer& expected, std::string_view body);

} // namespace monsoonlift::tools
