/// Limit on the number of requests that one backend server runs concurrently, adapted to its service
/// times and refusals.
#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace monsoonlift::concurrency {

/// Outcome of a run on the backend server, as input for the limit.
enum class run_outcome { finished, failed, refused, timed_out, cancelled };

/// Upper bounds of the limit from the configuration; the smaller one applies.
struct limit_bounds {
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

/// Service times recorded since the last evaluation.
struct service_window {
    std::uint32_t to_skip = 0; ///< Runs still to be ignored, because they began under an earlier limit.
    std::uint32_t runs = 0;
    std::uint32_t busy_runs = 0; ///< Runs that ended while at least half of the limit was in use.
    double total_s = 0;          ///< Sum of the service times.
    core::steady_time started;
};

/// A trial of a lower limit, to find out whether service times depend on the limit.
struct limit_trial {
    bool under_way = false;
    double limit_before = 0;
    double service_before_s = 0;
};

/// Observed concurrency of the server: the total duration of completed runs, divided by the elapsed time.
struct observed_concurrency {
    double run_s = 0; ///< Total duration of the runs that ended since `since`.
    core::steady_time since;
    double latest = 0;  ///< Value of the last complete interval.
    double highest = 0; ///< Highest recent value; decays with each interval.
};

/// A series of refusals in quick succession that lower the limit.
struct refusal_series {
    double limit_before = 0;     ///< Limit before the first refusal of the series.
    double highest_observed = 0; ///< Highest concurrency observed since shortly before the series began.
    core::steady_time unrelated_until; ///< Refusals are ignored until then as unrelated to the limit.
};

/// State of the limit of one backend server.
struct limit_state {
    limit_bounds bounds;
    double limit = 1;
    std::uint32_t running = 0;
    double fastest_service_s = 0; ///< Long-term minimum of service times; 0 while unknown.
    double typical_service_s = 0; ///< Smoothed service time; 0 while unknown.
    core::steady_time started;    ///< When the backend server announced itself; start of the cold-start ramp.
    std::chrono::milliseconds ramp{0}; ///< Duration of that ramp.
    core::steady_time last_decrease;
    service_window window;
    limit_trial trial;
    observed_concurrency observed;
    refusal_series refusals;
};

/// Longest time over which a backend server that has just started is given more and more of its slots.
constexpr std::chrono::milliseconds longest_ramp{2000};

/// Returns the state for a backend server that is new to its gate and slow for at most `cold_for` longer;
/// zero for one that only its gate is new to, as after a restart of the daemon.
[[nodiscard]] limit_state cold_start(const limit_bounds& bounds, core::steady_time now,
                                     std::chrono::milliseconds cold_for = longest_ramp);

/// Returns the number of requests that may run at `now`: the limit, or less during a cold start.
[[nodiscard]] std::uint32_t allowed(const limit_state& state, core::steady_time now);

/// Takes a slot; returns false if the limit is reached.
[[nodiscard]] bool try_acquire(limit_state& state, core::steady_time now);

/// Releases a slot and adapts the limit to the outcome of the run.
void release(limit_state& state, run_outcome outcome, std::chrono::nanoseconds service_time,
             core::steady_time now);

/// Returns the smoothed service time; zero while unknown.
[[nodiscard]] std::chrono::nanoseconds typical_service(const limit_state& state);

} // namespace monsoonlift::concurrency
