/// Choice of a backend server for a call, by what earlier answers said of each.
#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/call_ids.h"
#include "core/types/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace monsoonlift::routing {

/// Random numbers of the policies; seeded by the owner.
using random_engine = std::mt19937_64;

/// What a gate says of its load in each answer.
struct load_report {
    admission::shed_level level;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 1;
};

/// What an entry knows of one backend server.
struct endpoint_state {
    core::endpoint_id id;
    std::string service;
    std::string data_centre;
    bool draining = false;
    bool reachable = true; ///< False while membership suspects its daemon.
    load_report report;
    core::steady_time reported;  ///< When the report came; it ages.
    std::uint32_t in_flight = 0; ///< Calls of this entry.
    std::uint32_t sent_since_report = 0;
    double latency_s = 0;          ///< Smoothed, of answered calls; those of slow kinds count for less.
    double success = 1;            ///< Smoothed share of attempts that ended well.
    core::steady_time last_result; ///< Of an attempt that ran or failed.
    core::steady_time avoided_until;
    std::uint32_t avoided_times = 0;
};

/// Smoothed latencies of the answered calls of one service, at all its endpoints.
struct typical_latencies {
    double service_s = 0;                           ///< Of all kinds.
    std::unordered_map<std::string, double> kind_s; ///< Of each kind of call.
};

/// Backend servers known to one entry. Endpoints come and go through upsert and remove, which keep the
/// indexes.
struct routing_table {
    std::string data_centre; ///< That of the entry.
    std::vector<endpoint_state> endpoints;
    std::unordered_map<std::string, std::size_t> by_address;              ///< Positions in `endpoints`.
    std::unordered_map<std::string, std::vector<std::size_t>> by_service; ///< Positions in `endpoints`.
    std::unordered_map<std::string, typical_latencies> typical_latency;   ///< By service.
};

/// What a choice depends on.
struct route_request {
    std::string service;
    core::call_context context;
    std::string kind;                        ///< As in attempt_result.
    std::vector<core::endpoint_id> excluded; ///< Tried by earlier attempts of this call.
};

/// Why no endpoint was chosen.
enum class no_route { unknown_service, all_excluded, shed };

/// What a choice rested on, for the log.
struct route_evidence {
    std::size_t usable = 0;      ///< Endpoints that could have been chosen.
    admission::shed_level level; ///< Threshold of the service as a whole, of reports that are fresh.
    bool is_local = false;       ///< The endpoint chosen is in the entry's data centre.
    bool is_probe = false;       ///< Chosen to learn about it again.
    load_report report;          ///< Latest of the endpoint chosen.
    std::chrono::nanoseconds report_age{0};
    std::uint32_t in_flight = 0; ///< Calls of this entry at the endpoint.
};

/// The choice: an endpoint, or the reason why there is none.
struct route_choice {
    std::optional<core::endpoint_id> endpoint;
    no_route reason = no_route::unknown_service;
    route_evidence evidence;
};

/// How an attempt at an endpoint ended.
struct attempt_result {
    core::verdict run = core::verdict::ran;
    bool succeeded = true;
    bool shed = false; ///< Ended for a reason that is no fault of the server: overload, a caller that left.
    std::chrono::nanoseconds latency{0};
    std::string kind; ///< Calls of one kind take about the same time; empty for all calls of the service.
    std::optional<load_report> report;
};

/// Chooses an endpoint; refuses early if every one would shed the call.
[[nodiscard]] route_choice choose(routing_table& table, const route_request& request, random_engine& random,
                                  core::steady_time now);

/// Whether an endpoint is left that earlier attempts of the call have not tried.
[[nodiscard]] bool has_untried(const routing_table& table, const route_request& request);

/// Counts an attempt sent to an endpoint.
void record_sent(routing_table& table, const core::endpoint_id& endpoint);

/// Learns from the end of an attempt.
void record_result(routing_table& table, const core::endpoint_id& endpoint, const attempt_result& outcome,
                   core::steady_time now);

/// Adds an endpoint or updates what membership says of it; an older life of the address is replaced.
void upsert(routing_table& table, const core::endpoint_id& endpoint, const std::string& service,
            const std::string& data_centre, bool draining, bool reachable, core::steady_time now);

/// Forgets an endpoint.
void remove(routing_table& table, const core::endpoint_id& endpoint);

} // namespace monsoonlift::routing
