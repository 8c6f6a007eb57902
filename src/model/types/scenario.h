#pragma once

#include "core/types/call_context.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::model {

/// Time since the start of a run.
using run_time = std::chrono::nanoseconds;

/// One service and its servers.
struct service_spec {
    std::size_t servers = 1;
    std::uint32_t slots = 1;
    std::uint32_t real_slots = 0; ///< Requests that really run at once; 0 if equal to `slots`.
    run_time service_time{std::chrono::milliseconds(10)};
    double variation = 0.5;          ///< Coefficient of variation of service times.
    bool refuses_excess = false;     ///< Refuses requests beyond its real slots instead of queueing them.
    std::vector<std::size_t> nested; ///< Indices of the services it calls in turn after its own work.
};

/// One class of callers.
struct class_spec {
    std::string name;
    core::class_rank rank = 0;
    double load = 0;  ///< Demand as a share of the chain's capacity, outside the surge.
    double surge = 0; ///< Demand as a share of the chain's capacity, during the surge.
    std::chrono::milliseconds patience{1000}; ///< Time after which the caller leaves.
    bool idempotent = true;
    std::size_t service = 0;                       ///< Index of the service that its root calls go to.
    std::chrono::milliseconds declared_timeout{0}; ///< Timeout in its calls; 0 if equal to patience.
};

/// Behaviour of a faulty backend server.
enum class fault_kind {
    slow,               ///< Service times are ten times as long.
    slow_reported_idle, ///< Service times are ten times as long, while its gate reports it idle.
    failing_fast,       ///< Answers immediately with an error, while its gate reports it idle.
    refusing,           ///< Refuses immediately, so that the request has not run.
    refusing_some,      ///< Refuses a share of its requests at random, whatever its load.
    closing_on_error,   ///< Closes the connection instead of sending an error answer.
    cold,               ///< Slow for a while after a restart; service times grow with the running requests.
    cold_contended,     ///< Like cold, but times grow with the square, so throughput falls as more run.
    halved,             ///< Runs requests on half of its slots and queues the others without reporting it.
    strained, ///< Uses all slots, but service times grow with the square of the load beyond half of them.
    breaking  ///< Closes the connection immediately.
};

/// A fault of one backend server during a period.
struct fault_spec {
    std::size_t service = 0;
    std::size_t server = 0;
    fault_kind kind = fault_kind::slow;
    run_time from{0};
    run_time until{run_time::max()};
    double share = 1; ///< Share of the requests that refusing_some refuses.
};

/// Services, callers, network and faults of one simulated run.
struct scenario {
    std::string name;
    std::vector<service_spec> services;
    std::vector<class_spec> classes;
    std::size_t data_centres = 2;
    run_time surge_from{0};
    run_time surge_until{0};
    run_time surge_every{0};  ///< If not 0, the surge consists of bursts that begin at this interval.
    run_time burst_length{0}; ///< Length of these bursts.
    run_time length{std::chrono::seconds(10)};
    std::uint32_t caller_resends = 3; ///< Maximum number of resends of a failed call by its caller.
    std::chrono::milliseconds resend_delay{100}; ///< Maximum random pause before a resend.
    std::uint32_t attempts_per_root = 2;         ///< Retry budget of a root call, in attempts.
    double grant_burst = 10; ///< Retries that root calls in flight may hold at each daemon.
    std::chrono::microseconds local_delay{200};   ///< One-way delay within a data centre.
    std::chrono::microseconds remote_delay{4000}; ///< One-way delay between data centres.
    double stall_share = 0; ///< Share of messages between data centres that a lost packet delays.
    std::chrono::milliseconds stall{200}; ///< Extra delay of a message after a lost packet.
    std::vector<fault_spec> faults;
};

/// Returns the root calls per second that the chain can serve.
[[nodiscard]] double capacity_of(const scenario& simulated);

/// Returns the scenario named `name`, or nothing.
[[nodiscard]] std::optional<scenario> find_scenario(const std::string& name);

/// Returns the names of all scenarios.
[[nodiscard]] std::vector<std::string> scenario_names();

} // namespace monsoonlift::model
