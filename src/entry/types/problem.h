#pragma once

#include "core/types/verdict.h"
#include "transport/types/frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::entry {

/// What a caller is told when there is no answer of a backend server (RFC 9457).
struct problem {
    unsigned status = 500;
    core::verdict run = core::verdict::not_run;
    std::string type; ///< Last part of the problem's URN, such as "unknown-service".
    std::string title;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// The answer that says so to callers of this project's own protocol, without its reason phrase.
[[nodiscard]] transport::response_head tell_problem(const problem& trouble);

/// The JSON document of a problem.
[[nodiscard]] std::string to_json(const problem& trouble);

} // namespace monsoonlift::entry
