/// Calls that name a host and a path: the route decides on service, class, time and attempts.
#pragma once

#include "entry/request_parsing.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <variant>

namespace monsoonlift::entry {

/// What a request says of where it wants to go.
struct routed_request {
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view id;     ///< The caller's name for this attempt; empty if it gives none.
    std::optional<std::chrono::milliseconds> time_left;
};

/// Finds the route and begins the call's context. The headers to pass on are left empty.
[[nodiscard]] std::variant<parsed_call, problem>
route_call(const routed_request& request, const parsing_rules& rules, core::steady_time now);

} // namespace monsoonlift::entry
