#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/types/call_context.h"

namespace monsoonlift::configuration {

/// What operators say of one call of a service.
struct call_rule {
    std::string name;
    std::string method;      ///< HTTP method, upper case.
    std::string path_prefix; ///< The longest matching prefix decides.
    std::string class_name;
    core::class_rank rank = 0; ///< Position of class_name in document::classes.
    bool idempotent = false;
    std::chrono::milliseconds patience{0}; ///< How long a caller waits when it names no deadline of its own.
};

/// What operators say of one service.
struct service_rule {
    std::string name;
    std::uint32_t endpoints = 1;   ///< How many backend servers the operators plan for.
    std::uint32_t slots = 1;       ///< Requests that one backend server runs at once.
    std::uint32_t connections = 1; ///< Connections that one backend server accepts.
    std::chrono::milliseconds drain_time{5000};
    std::vector<call_rule> calls;
};

/// One destination of a route and its share of the route's calls.
struct route_destination {
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other destinations of the route.
};

/// What operators say of calls that name a host and a path instead of a service.
struct route_rule {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Among the routes of a host the longest matching prefix decides.
    std::string class_name;
    core::class_rank rank = 0; ///< Position of class_name in document::classes.
    bool idempotent = false;
    std::chrono::milliseconds timeout{0};           ///< The longest a caller is kept waiting; 0 for no bound.
    std::chrono::milliseconds latency_objective{0}; ///< 0 if the operators state none.
    std::uint32_t attempts = 2;                     ///< Backend servers that one call may be sent to.
    std::vector<route_destination> destinations;
};

/// What operators say of one kind of caller.
struct caller_rule {
    std::string name;
    std::chrono::milliseconds patience{0};
};

/// Bounds on retries for the whole fleet.
struct retry_rule {
    std::uint32_t attempts_per_root =
        2;              ///< Attempts that one root call may spend beyond its first, at all hops.
    double ratio = 0.1; ///< Retries allowed for each first attempt, over the whole daemon.
};

/// How long records of non-idempotent calls are kept: callers resend a key only within this time.
struct execution_rule {
    std::chrono::milliseconds resend_window{std::chrono::minutes(10)};
};

/// The configuration that operators submit; checked whole before it is accepted.
struct document {
    std::uint64_t revision = 0; ///< Under which it is in force; 0 for a text that is only read.
    std::vector<std::string> data_centres;
    std::vector<std::string> classes; ///< The first is shed last.
    std::vector<caller_rule> callers;
    std::vector<service_rule> services;
    std::vector<route_rule> routes;
    retry_rule retries;
    execution_rule execution;
};

/// The service of that name, or nullptr.
[[nodiscard]] const service_rule* find_service(const document& configuration, std::string_view name);

/// The route of that host with the longest prefix that begins the path, or nullptr.
[[nodiscard]] const route_rule* find_route(const document& configuration, std::string_view host,
                                           std::string_view path);

/// The destination at `point` of the route's weights laid end to end, from 0 up to but not including 1;
/// nullptr if no destination has a weight.
[[nodiscard]] const route_destination* pick_destination(const route_rule& route, double point);

/// The rule with the longest matching prefix for that method, or nullptr.
[[nodiscard]] const call_rule* find_call(const service_rule& service, std::string_view method,
                                         std::string_view path);

} // namespace monsoonlift::configuration
