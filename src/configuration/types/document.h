#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "accounts/account_table.h"
#include "core/types/call_context.h"

namespace monsoonlift::configuration {

/// Configuration of one call of a service.
struct call_rule {
    std::string name;
    std::string method;      ///< HTTP method, upper case.
    std::string path_prefix; ///< A request belongs to the call with the longest matching prefix.
    std::string class_name;
    core::class_rank rank = 0; ///< Position of class_name in document::classes.
    bool idempotent = false;
    /// Default time-out of a request and upper limit of the one that the request names; 0 for the daemon's
    /// default.
    std::chrono::milliseconds patience{0};
};

/// Configuration of one service.
struct service_rule {
    std::string name;
    std::uint32_t endpoints = 1;                ///< Planned number of backend servers.
    std::uint32_t slots = 1;                    ///< Requests that one backend server runs concurrently.
    std::uint32_t connections = 1;              ///< Connections that one backend server accepts.
    std::chrono::milliseconds drain_time{5000}; ///< Time in which a drain is expected to end.
    std::vector<call_rule> calls;
};

/// One destination of a route and its share of the route's calls.
struct route_destination {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other destinations of the route.
};

/// Configuration of calls that are addressed by host and path instead of by service.
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Of the routes of a host, the one with the longest matching prefix applies.
    std::string class_name;
    core::class_rank rank = 0; ///< Position of class_name in document::classes.
    bool idempotent = false;
    std::chrono::milliseconds timeout{0}; ///< Maximum time a caller waits for an answer; 0 for no limit.
    std::chrono::milliseconds latency_objective{0}; ///< Target latency; 0 if none is configured.
    std::uint32_t attempts = 2; ///< Number of backend servers that one call may be sent to.
    bool is_public = false;     ///< Callers need no API key, though the document has accounts.
    std::vector<route_destination> destinations;
};

/// Configuration of one kind of caller.
struct caller_rule {
    std::string name;
    std::chrono::milliseconds patience{0}; ///< Upper limit of the time-outs of its requests; 0 for none.
};

/// Limits on retries, the same for every daemon of the fleet.
struct retry_rule {
    std::uint32_t attempts_per_root = 2; ///< Attempts of a root call beyond its first, over all hops.
    double ratio = 0.1;                  ///< Retries allowed per first attempt, over all calls of one daemon.
};

/// Configuration of at-most-once execution.
struct execution_rule {
    /// How long records of non-idempotent calls are kept; callers may resend a key only within this time.
    std::chrono::milliseconds resend_window{std::chrono::minutes(10)};
};

/// The configuration that operators submit; accepted only if all of it is valid.
struct document {
    std::uint64_t revision = 0; ///< Set when the document is put in force; 0 before.
    std::vector<std::string> data_centres;
    std::vector<std::string> classes; ///< Ordered by priority: the first class is shed last.
    std::vector<caller_rule> callers;
    std::vector<service_rule> services;
    std::vector<route_rule> routes;
    retry_rule retries;
    execution_rule execution;
    /// Client accounts, whose keys callers of routes must carry; absent if callers need no key.
    std::optional<accounts::account_table> accounts;
    std::vector<std::string> left_out; ///< Faulty parts of an accepted document that are not in force.
    /// How long a caller may leave a connection idle and use it again; 0 if nothing is agreed.
    std::chrono::milliseconds caller_idle_time{0};
};

/// Returns the service with that name, or nullptr.
[[nodiscard]] const service_rule* find_service(const document& configuration, std::string_view name);

/// Returns the route of that host with the longest prefix matching the path, or nullptr.
[[nodiscard]] const route_rule* find_route(const document& configuration, std::string_view host,
                                           std::string_view path);

/// Maps `point`, from 0 up to but not including 1, to a destination, so that a uniformly random point picks
/// destinations in proportion to their weights; nullptr if all weights are 0.
[[nodiscard]] const route_destination* pick_destination(const route_rule& route, double point);

/// Returns the call with that method and the longest prefix matching the path, or nullptr.
[[nodiscard]] const call_rule* find_call(const service_rule& service, std::string_view method,
                                         std::string_view path);

} // namespace monsoonlift::configuration
