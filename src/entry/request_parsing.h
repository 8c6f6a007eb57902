/// Checks a caller's request head and builds the call context from it.
#pragma once

#include "configuration/types/document.h"
#include "core/clock.h"
#include "core/types/call_context.h"
#include "entry/types/problem.h"
#include "gate/context_token.h"
#include "gate/nested_budgets.h"
#include "transport/types/frame.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace monsoonlift::entry {

/// The head of an HTTP request as received, unchecked.
struct request_fields {
    std::string method;
    std::string target;
    std::vector<transport::header> headers;
};

/// A request that passed the checks.
struct parsed_call {
    std::string service;
    core::call_context context;
    std::vector<transport::header> headers;    ///< Fields to pass on to the backend server.
    std::optional<gate::context_token> parent; ///< Token of the request that makes this nested call.
    std::optional<core::root_id> request; ///< Root id from the caller; empty if the entry is to draw one.
    std::optional<std::uint32_t>
        attempts;     ///< Most attempts that may reach a backend server; empty if the route sets no limit.
    std::string kind; ///< Name of the route or the call; calls of one kind take about the same time.
    std::chrono::milliseconds latency_objective{0}; ///< 0 if the operators set none.
    bool needs_key = false;                         ///< A root call must carry the API key of an account.
};

/// The configuration and defaults that the checks of a request use.
struct parsing_rules {
    const configuration::document& configuration;
    std::chrono::milliseconds default_patience{5000};
    core::incarnation self; ///< Deadlines in tokens are valid only in the incarnation that issued them.
    /// The requests that run on the local backend server; nullptr if none does.
    const gate::nested_budgets* runs = nullptr;
};

/// Checks the head and builds the call; the caller of this function sets the context's root id and attempts.
[[nodiscard]] std::variant<parsed_call, problem>
parse_call(const request_fields& request, const parsing_rules& rules, core::steady_time now);

/// Makes the call a nested call of the request that `parent` names: sets its root id and depth, and, if this
/// daemon issued the token, the parent's class and a deadline not later than the parent's.
void adopt_parent(parsed_call& call, const gate::context_token& parent, core::incarnation self);

/// Makes the problem for a request that can't be parsed.
[[nodiscard]] problem malformed(std::string type, std::string detail);

/// Makes the problem for a well-formed request whose service, call or route is not configured.
[[nodiscard]] problem not_known(std::string type, std::string detail);

/// Returns the problem with a request target, or nothing if it is a path.
[[nodiscard]] std::optional<problem> check_target(std::string_view target);

/// Parses an integer number of milliseconds from `shortest` to ten minutes; returns nothing for any other
/// text.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text,
                                                                          std::chrono::milliseconds shortest);

/// Returns the header fields to forward to the backend server: without the Monsoonlift-* fields and without
/// hop-by-hop fields, known by name or listed in the Connection field (RFC 9110, 7.6.1).
[[nodiscard]] std::vector<transport::header> headers_to_pass(const request_fields& request);

/// Returns the value of a header field that may occur at most once, or an empty value if it is absent; a
/// repeated or empty field is an error.
[[nodiscard]] std::variant<std::string_view, problem> single_header(const request_fields& request,
                                                                    std::string_view name);

} // namespace monsoonlift::entry
