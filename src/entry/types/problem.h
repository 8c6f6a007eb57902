#pragma once

#include "core/types/verdict.h"
#include "transport/types/frame.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::entry {

/// Problem details (RFC 9457) sent to a caller in place of a backend server's answer.
struct problem {
    unsigned status = 500;
    core::verdict run = core::verdict::not_run; ///< Whether the call ran, as far as is known.
    std::string type; ///< Last part of the problem's URN, such as "unknown-service".
    std::string title;
    std::string detail;
    std::optional<std::chrono::milliseconds> retry_after;
};

/// Makes the response for callers of this project's own protocol, without a reason phrase.
[[nodiscard]] transport::response_head to_response_head(const problem& trouble);

/// Renders the problem as a JSON document.
[[nodiscard]] std::string to_json(const problem& trouble);

} // namespace monsoonlift::entry
