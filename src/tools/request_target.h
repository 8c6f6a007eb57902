#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// Path and query parameters of a request to a backend stand-in.
struct request_target {
    std::string path;
    std::string token; ///< `token=`, identifies the request; returned in its JSON answer.
    std::optional<std::uint64_t> body_length; ///< `bytes=`, length of the answer; none for a JSON answer.
    bool echo = false;                        ///< `echo=1`, the answer returns the request's body.
};

/// Parses path and query; ignores unknown parameters.
[[nodiscard]] request_target parse_target(std::string_view target);

} // namespace monsoonlift::tools
