/// Checks of a caller's request head and the call context that follows from it.
#pragma once

#include "configuration/types/document.h"
#include "core/clock.h"
#include "core/types/call_context.h"
#include "entry/types/problem.h"
#include "gate/context_token.h"
#include "transport/types/frame.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace monsoonlift::entry {

/// The head of a request as it was read.
struct request_fields {
    std::string method;
    std::string target;
    std::vector<transport::header> headers;
};

/// A request that passed the checks.
struct parsed_call {
    std::string service;
    core::call_context context;
    std::vector<transport::header> headers;    ///< Those to pass on.
    std::optional<gate::context_token> parent; ///< Of a nested call.
    std::optional<core::root_id> request;      ///< Identity that the caller gave; drawn here if it gave none.
    std::optional<std::uint32_t>
        attempts;     ///< Backend servers that the call may be sent to, if its route says.
    std::string kind; ///< Name of the route or the call; calls of one kind take about the same time.
    std::chrono::milliseconds latency_objective{0}; ///< 0 if the operators state none.
};

/// What the checks depend on.
struct parsing_rules {
    const configuration::document& configuration;
    std::chrono::milliseconds default_patience{5000};
    core::incarnation self; ///< Deadlines of tokens are known only to the life that issued them.
};

/// Checks the head; the context's root id and attempts are left for the caller of this function to set.
[[nodiscard]] std::variant<parsed_call, problem>
parse_call(const request_fields& request, const parsing_rules& rules, core::steady_time now);

/// Makes the call a nested one: it gets the root, depth, class and time of the request that makes it.
void adopt_parent(parsed_call& call, const gate::context_token& parent, core::incarnation self);

/// What a caller is told whose request can't be understood.
[[nodiscard]] problem malformed(std::string type, std::string detail);

/// What a caller is told whose request is well formed and leads nowhere.
[[nodiscard]] problem not_known(std::string type, std::string detail);

/// What speaks against a request target; nothing if it is a path.
[[nodiscard]] std::optional<problem> check_target(std::string_view target);

/// The whole milliseconds of a text, from `shortest` to ten minutes; nothing for any other text.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_milliseconds(std::string_view text,
                                                                          std::chrono::milliseconds shortest);

/// The header fields that go on to the backend server: none of this system's own, and none that concerns the
/// caller's connection only, by its name or because the Connection field lists it (RFC 9110, 7.6.1).
[[nodiscard]] std::vector<transport::header> headers_to_pass(const request_fields& request);

/// The value of a header field that may be given once at most; two different ones are an error.
[[nodiscard]] std::variant<std::string_view, problem> single_header(const request_fields& request,
                                                                    std::string_view name);

} // namespace monsoonlift::entry
