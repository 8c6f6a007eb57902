/// How many requests one backend server runs at once, learned from service times and refusals.
#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>

namespace monsoonlift::concurrency {

/// How a run on the backend server ended, as far as the limit is concerned.
enum class run_outcome { finished, failed, refused, timed_out, cancelled };

/// Bounds from the configuration.
struct limit_bounds {
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
};

/// Service times since the last look at them.
struct service_window {
    std::uint32_t to_skip = 0; ///< Runs that began under an earlier limit and tell nothing of this one.
    std::uint32_t runs = 0;
    std::uint32_t busy_runs = 0; ///< Ended while the limit was reached.
    double total_s = 0;
    core::steady_time started;
};

/// A lowered limit that is tried out, to learn whether service times depend on it.
struct limit_trial {
    bool under_way = false;
    double limit_before = 0;
    double service_before_s = 0;
};

/// How many requests the server was seen to run at once: the time that runs took, over the time that passed.
struct shown_concurrency {
    double run_s = 0; ///< Of the runs that ended since `since`.
    core::steady_time since;
    double latest = 0;
    double highest = 0; ///< Of late; it fades.
};

/// Refusals in quick succession, each of which lowers the limit.
struct refusal_series {
    double limit_before = 0;
    double most_shown = 0;             ///< The highest concurrency shown since shortly before it began.
    core::steady_time unrelated_until; ///< Refusals are taken to have nothing to do with the limit.
};

/// State of the limit of one backend server.
struct limit_state {
    limit_bounds bounds;
    double limit = 1;
    std::uint32_t running = 0;
    double fastest_service_s = 0; ///< Long-term floor of service times, 0 while unknown.
    double typical_service_s = 0; ///< Smoothed service time, 0 while unknown.
    core::steady_time started;    ///< When the backend server announced itself; a cold start ramps from here.
    core::steady_time last_decrease;
    service_window window;
    limit_trial trial;
    shown_concurrency shown;
    refusal_series refusals;
};

/// The state at a cold start.
[[nodiscard]] limit_state cold_start(const limit_bounds& bounds, core::steady_time now);

/// Takes a slot; false if the limit is reached.
[[nodiscard]] bool try_acquire(limit_state& state, core::steady_time now);

/// Gives a slot back and learns from how the run ended.
void release(limit_state& state, run_outcome outcome, std::chrono::nanoseconds service_time,
             core::steady_time now);

/// The smoothed service time; zero while unknown.
[[nodiscard]] std::chrono::nanoseconds typical_service(const limit_state& state);

} // namespace monsoonlift::concurrency
