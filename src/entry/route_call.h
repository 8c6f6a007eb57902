/// Calls addressed by host and path: the route decides service, class, timeout and attempts.
#pragma once

#include "entry/request_parsing.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <variant>

namespace monsoonlift::entry {

/// The parts of a request from which its route is chosen.
struct routed_request {
    std::string_view host;
    std::string_view target; ///< Path and query.
    std::string_view id;     ///< The caller's id for this request; empty if it sent none.
    std::optional<std::chrono::milliseconds> time_left; ///< Time until the caller's deadline, if it sent one.
};

/// Finds the route and fills in the call's context. Leaves the headers to pass on empty.
[[nodiscard]] std::variant<parsed_call, problem>
route_call(const routed_request& request, const parsing_rules& rules, core::steady_time now);

} // namespace monsoonlift::entry
