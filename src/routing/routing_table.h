/// Choice of a backend server for a call, based on the load, latency and success of earlier attempts.
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

/// Random number generator for the choices; seeded by the owner.
using random_engine = std::mt19937_64;

/// Load of a gate, which it reports with each answer.
struct load_report {
    admission::shed_level level;
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t limit = 1;
};

/// State of one backend server as seen by an entry.
struct endpoint_state {
    core::endpoint_id id;
    std::string service;
    std::string data_centre;
    bool draining = false;
    bool reachable = true; ///< False while membership suspects its daemon of having failed.
    load_report report;
    core::steady_time reported;          ///< When the report was received; its weight decreases with age.
    std::uint32_t in_flight = 0;         ///< Calls that this entry has outstanding there.
    std::uint32_t sent_since_report = 0; ///< Attempts sent since the last report.
    double latency_s = 0; ///< Smoothed latency of answered calls, normalized by kind of call; 0 if unknown.
    double success = 1;   ///< Smoothed share of successful attempts.
    core::steady_time last_result;   ///< End of the last attempt that succeeded or failed without being shed.
    core::steady_time avoided_until; ///< Until then used only for probes or if there is no alternative.
    std::uint32_t avoided_times = 0; ///< Avoidances in a row, for the exponential backoff.
};

/// Smoothed latencies of the answered calls of a service across all its endpoints.
struct typical_latencies {
    double service_s = 0;                           ///< Latency of calls of all kinds.
    std::unordered_map<std::string, double> kind_s; ///< Latency by kind of call.
};

/// Backend servers known to an entry. Use upsert and remove to change `endpoints`, because they maintain the
/// indexes.
struct routing_table {
    std::string data_centre; ///< Data centre of the entry.
    std::vector<endpoint_state> endpoints;
    std::unordered_map<std::string, std::size_t> by_address;              ///< Positions in `endpoints`.
    std::unordered_map<std::string, std::vector<std::size_t>> by_service; ///< Positions in `endpoints`.
    std::unordered_map<std::string, typical_latencies> typical_latency;   ///< By service.
};

/// Input for the choice of an endpoint.
struct route_request {
    std::string service;
    core::call_context context;
    std::string kind;                        ///< Kind of call, as in attempt_result.
    std::vector<core::endpoint_id> excluded; ///< Endpoints already tried by earlier attempts of this call.
};

/// Why no endpoint was chosen.
enum class no_route { unknown_service, all_excluded, shed };

/// Data on which a choice was based, for the log.
struct route_evidence {
    std::size_t usable = 0;      ///< Endpoints that could have been chosen.
    admission::shed_level level; ///< Median threshold of the usable endpoints with recent reports.
    bool is_local = false;       ///< The chosen endpoint is in the data centre of the entry.
    bool is_probe = false;       ///< The endpoint was chosen to refresh outdated data about it.
    load_report report;          ///< Latest report of the chosen endpoint.
    std::chrono::nanoseconds report_age{0};
    std::uint32_t in_flight = 0; ///< Calls that this entry has outstanding at the endpoint.
};

/// Result of a choice: an endpoint, or the reason why there is none.
struct route_choice {
    std::optional<core::endpoint_id> endpoint;
    no_route reason = no_route::unknown_service;
    route_evidence evidence;
};

/// Outcome of an attempt at an endpoint.
struct attempt_result {
    core::verdict run = core::verdict::ran;
    bool succeeded = true;
    bool shed = false; ///< Ended for other reasons than a server fault: overload, or the caller disconnected.
    std::chrono::nanoseconds latency{0};
    std::string kind; ///< Groups calls that take about the same time; empty for all calls of the service.
    std::optional<load_report> report;
};

/// Chooses an endpoint; refuses the call if the median threshold of the usable endpoints would shed it.
[[nodiscard]] route_choice choose(routing_table& table, const route_request& request, random_engine& random,
                                  core::steady_time now);

/// Returns whether there is a usable endpoint that earlier attempts of the call have not tried.
[[nodiscard]] bool has_untried(const routing_table& table, const route_request& request);

/// Records that an attempt was sent to an endpoint.
void record_sent(routing_table& table, const core::endpoint_id& endpoint);

/// Updates the state of the endpoint with the outcome of an attempt.
void record_result(routing_table& table, const core::endpoint_id& endpoint, const attempt_result& outcome,
                   core::steady_time now);

/// Adds an endpoint or updates its membership data. An earlier incarnation at the same address is replaced,
/// and updates for an earlier incarnation are ignored.
void upsert(routing_table& table, const core::endpoint_id& endpoint, const std::string& service,
            const std::string& data_centre, bool draining, bool reachable, core::steady_time now);

/// Removes an endpoint; ignored if another incarnation has replaced it.
void remove(routing_table& table, const core::endpoint_id& endpoint);

} // namespace monsoonlift::routing
