#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// What a request target asks of a stand-in.
struct request_target {
    std::string path;
    std::string token;                        ///< `token=`, returned with the answer.
    std::optional<std::uint64_t> body_length; ///< `bytes=`, length of the answer's body.
    bool echo = false;                        ///< `echo=1`, the answer is the request's body.
};

/// Reads path and query; unknown parameters are passed over.
[[nodiscard]] request_target parse_target(std::string_view target);

} // namespace monsoonlift::tools
