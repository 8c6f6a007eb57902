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

/// One service.
struct service_spec {
    std::size_t servers = 1;
    std::uint32_t slots = 1;
    std::uint32_t real_slots = 0; ///< Requests that really run at once; 0 if that is `slots`.
    run_time service_time{std::chrono::milliseconds(10)};
    double variation = 0.5;          ///< Coefficient of variation of service times.
    bool refuses_excess = false;     ///< It refuses what exceeds its real slots in place of queueing it.
    std::vector<std::size_t> nested; ///< Services it calls, one after the other, after its own work.
};

/// One class of callers.
struct class_spec {
    std::string name;
    core::class_rank rank = 0;
    double load = 0;  ///< Demand as a share of the chain's capacity, outside the surge.
    double surge = 0; ///< The same during the surge.
    std::chrono::milliseconds patience{1000}; ///< After it the caller goes away.
    bool idempotent = true;
    std::size_t service = 0;                       ///< Where its root calls go.
    std::chrono::milliseconds declared_timeout{0}; ///< The deadline it names; 0 if that is its patience.
};

/// What a faulty backend server does.
enum class fault_kind {
    slow,           ///< Service takes ten times as long.
    slow_lying,     ///< The same, while its gate reports it idle.
    failing_fast,   ///< It answers at once with an error and is reported idle.
    refusing,       ///< It refuses at once, so that the request has not run.
    losing,         ///< It breaks the connection in place of an answer that is an error.
    cold,           ///< It has restarted and is slow for a while, the more the more it runs.
    cold_contended, ///< The same, but the time grows by the square of what it runs, so it does less the more
                    ///< it runs.
    halved,         ///< It runs half of its slots and queues the rest without a word.
    strained, ///< It runs all of its slots, but beyond half of them it slows by the square of the excess.
    breaking  ///< It breaks the connection at once.
};

/// A fault of one backend server, for a time.
struct fault_spec {
    std::size_t service = 0;
    std::size_t server = 0;
    fault_kind kind = fault_kind::slow;
    run_time from{0};
    run_time until{run_time::max()};
};

/// What a run plays.
struct scenario {
    std::string name;
    std::vector<service_spec> services;
    std::vector<class_spec> classes;
    std::size_t data_centres = 2;
    run_time surge_from{0};
    run_time surge_until{0};
    run_time length{std::chrono::seconds(10)};
    std::uint32_t caller_resends = 3;             ///< How often a caller sends a failed call again.
    std::chrono::milliseconds resend_delay{100};  ///< Longest pause before it does.
    std::uint32_t attempts_per_root = 2;          ///< The root call's budget of repeated attempts.
    std::chrono::microseconds local_delay{200};   ///< One way, within a data centre.
    std::chrono::microseconds remote_delay{4000}; ///< One way, between data centres.
    double stall_share = 0;                       ///< Messages that a lost packet holds up.
    std::chrono::milliseconds stall{200};         ///< For that long.
    std::vector<fault_spec> faults;
};

/// Root calls a second that the chain can serve.
[[nodiscard]] double capacity_of(const scenario& played);

/// The scenario of that name, or nothing.
[[nodiscard]] std::optional<scenario> find_scenario(const std::string& name);

/// Names of all scenarios.
[[nodiscard]] std::vector<std::string> scenario_names();

} // namespace monsoonlift::model
