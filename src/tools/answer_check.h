#pragma once

#include "tools/types/scenario.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonlift::tools {

/// What a caller knows of the request whose answer it checks.
struct expected_answer {
    std::string token;
    std::uint64_t request_length = 0;
    std::string request_sha256;
    std::uint64_t response_bytes = 0; ///< 0 for the stand-in's JSON answer.
};

/// Whether `body` is the whole answer to that very request.
[[nodiscard]] bool is_expected(const expected_answer& expected, std::string_view body);

} // namespace monsoonlift::tools
