#pragma once

#include "core/types/call_ids.h"
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
    /// Root id that the caller's own id gives the refused request; empty if the entry is to draw one. Without
    /// it, the lines about a request that is refused before it is routed could not be found by that id.
    std::optional<core::root_id> request = std::nullopt;
};

/// Makes the response for callers of this project's own protocol, without a reason phrase.
[[nodiscard]] transport::response_head to_response_head(const problem& trouble);

/// Renders the problem as a JSON document.
[[nodiscard]] std::string to_json(const problem& trouble);

} // namespace monsoonlift::entry
