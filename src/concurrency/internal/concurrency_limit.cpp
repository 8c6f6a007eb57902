#include "concurrency/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace monsoonlift::concurrency {

namespace {

/// Factor by which a refusal lowers the limit.
constexpr double refused_factor = 0.9;

/// Share of the configured bound that a backend server may use right after its start.
constexpr double cold_share = 0.25;

/// Weight of the newest run in the smoothed service time.
constexpr double newest_weight = 0.1;

/// Share of the limit that must be in use for a run to count as busy. Only busy runs raise the limit, and a
/// trial of a lower limit starts only if most runs of a window were busy.
constexpr double busy_share = 0.5;

/// Minimum number of runs in a window; if the limit is larger, the window needs as many runs as the limit.
constexpr std::uint32_t min_window_runs = 32;

/// Relative growth of the limit per round of runs while the server is busy and not slower than
/// `growth_tolerance` allows. A round is as many runs as the limit, so each run adds this many slots.
constexpr double growth = 0.1;

/// Time after a refusal during which the limit grows by only one slot per round.
constexpr std::chrono::milliseconds cautious_time{500};

/// Interval over which the concurrency of a server is measured, and the factor by which the highest measured
/// value decays with each new measurement.
constexpr std::chrono::milliseconds observation_interval{100};
constexpr double observation_decay = 0.8;

/// If a server still refuses requests once the limit is down to `unrelated_share` of the highest concurrency
/// observed during the series, its refusals have another cause than concurrency: they are ignored for
/// `unrelated_time`.
constexpr double unrelated_share = 0.8;
constexpr std::chrono::seconds unrelated_time{2};

/// Multiples of the minimum service time. Up to `growth_tolerance` the limit grows by `growth` per round,
/// above it by one slot per round; above `trial_tolerance` a trial of a lower limit starts.
constexpr double growth_tolerance = 1.25;
constexpr double trial_tolerance = 1.6;

/// Factor by which a trial lowers the limit, and the share of that relative reduction by which service times
/// must fall for the lower limit to be kept.
constexpr double trial_factor = 0.7;
constexpr double trial_success = 0.5;

/// Relative rise of the minimum service time per second, so that an outdated minimum is replaced.
constexpr double floor_drift = 0.02;

double highest(const limit_bounds& bounds) {
    return std::max(1.0, static_cast<double>(std::min(bounds.slots, bounds.connections)));
}

/// The bound on the limit, which ramps up during a cold start.
double ramped_bound(const limit_state& state, core::steady_time now) {
    if (now - state.started >= state.ramp) {
        return highest(state.bounds);
    }
    const double age_s = std::chrono::duration<double>(now - state.started).count();
    const double ramp_s = std::chrono::duration<double>(state.ramp).count();
    const double share = std::clamp(cold_share + (1 - cold_share) * age_s / ramp_s, cold_share, 1.0);
    return std::max(1.0, share * highest(state.bounds));
}

void set_limit(limit_state& state, double limit) {
    state.limit = std::clamp(limit, 1.0, highest(state.bounds));
}

bool has_run(run_outcome outcome) {
    return outcome == run_outcome::finished || outcome == run_outcome::failed;
}

/// Adds a completed run to the observed concurrency.
void record_concurrency(observed_concurrency& observed, double run_s, core::steady_time now) {
    observed.run_s += run_s;
    if (now - observed.since < observation_interval) {
        return;
    }
    observed.latest = observed.run_s / std::chrono::duration<double>(now - observed.since).count();
    observed.highest = std::max(observed.latest, observation_decay * observed.highest);
    observed.run_s = 0;
    observed.since = now;
}

/// Returns whether refusals continue although the limit is far below the concurrency observed since they
/// began. This detects servers that refuse a share of their requests while they have free slots; a server
/// with fewer slots than it states stops refusing once the limit has fallen to that number.
bool are_refusals_unrelated(const limit_state& state) {
    return !state.trial.under_way && state.observed.latest > 0 &&
           state.limit <= std::max(1.0, unrelated_share * state.refusals.highest_observed);
}

/// Returns whether less than one typical service time has passed since the limit was lowered.
bool was_recently_lowered(const limit_state& state, core::steady_time now) {
    const auto round = std::chrono::duration_cast<core::steady_time::duration>(
        std::chrono::duration<double>(state.typical_service_s));
    return now - state.last_decrease < round;
}

void decrease(limit_state& state, core::steady_time now) {
    if (now < state.refusals.unrelated_until) {
        return;
    }
    if (was_recently_lowered(state, now)) {
        return;
    }
    if (now - state.last_decrease >= cautious_time) {
        state.refusals.limit_before = state.limit;
        state.refusals.highest_observed = 0;
    }
    state.refusals.highest_observed = std::max(state.refusals.highest_observed, state.observed.highest);
    if (are_refusals_unrelated(state)) {
        set_limit(state, state.refusals.limit_before);
        state.refusals.unrelated_until = now + unrelated_time;
        state.last_decrease = now - cautious_time;
        return;
    }
    set_limit(state, state.limit * refused_factor);
    state.last_decrease = now;
}

void smooth_service_time(limit_state& state, double seconds) {
    const double old = state.typical_service_s;
    state.typical_service_s = old == 0 ? seconds : old + newest_weight * (seconds - old);
}

void start_window(limit_state& state, std::uint32_t to_skip, core::steady_time now) {
    state.window = {};
    state.window.started = now;
    state.window.to_skip = to_skip;
}

void start_trial(limit_state& state, double service_s, core::steady_time now) {
    const double limit = std::min(state.limit, ramped_bound(state, now));
    state.trial = {true, limit, service_s};
    start_window(state, state.running, now);
    set_limit(state, limit * trial_factor);
}

/// Ends a trial. The lower limit is kept if it made runs faster; otherwise the slowness has another cause and
/// the previous limit is restored.
void end_trial(limit_state& state, double service_s) {
    const double expected_reduction = 1 - state.limit / state.trial.limit_before;
    const double measured_reduction = 1 - service_s / state.trial.service_before_s;
    state.trial.under_way = false;
    if (measured_reduction >= trial_success * expected_reduction) {
        return;
    }
    set_limit(state, state.trial.limit_before);
    state.fastest_service_s = service_s;
}

void end_window(limit_state& state, core::steady_time now) {
    const double service_s = state.window.total_s / state.window.runs;
    const bool busy = state.window.busy_runs * 2 > state.window.runs;
    const double age_s = std::chrono::duration<double>(now - state.window.started).count();
    start_window(state, 0, now);
    if (state.trial.under_way) {
        end_trial(state, service_s);
        return;
    }
    const double drifted = state.fastest_service_s * (1 + floor_drift * age_s);
    const double floor = state.fastest_service_s == 0 ? service_s : drifted;
    state.fastest_service_s = std::min(service_s, floor);
    if (busy && state.limit > 1 && service_s > trial_tolerance * state.fastest_service_s) {
        start_trial(state, service_s, now);
    }
}

void record_run(limit_state& state, double seconds, bool busy, core::steady_time now) {
    auto& window = state.window;
    if (window.to_skip > 0) {
        --window.to_skip;
        return;
    }
    ++window.runs;
    window.busy_runs += busy ? 1 : 0;
    window.total_s += seconds;
    if (window.runs >= std::max<double>(min_window_runs, state.limit)) {
        end_window(state, now);
    }
}

void grow(limit_state& state, core::steady_time now) {
    if (state.trial.under_way || was_recently_lowered(state, now)) {
        return;
    }
    const double slow_s = growth_tolerance * state.fastest_service_s;
    const bool slowed = slow_s > 0 && state.typical_service_s > slow_s;
    const bool refused = now - state.last_decrease < cautious_time;
    const double one_each_round = 1 / state.limit;
    set_limit(state, state.limit + (slowed || refused ? one_each_round : std::max(one_each_round, growth)));
}

} // namespace

limit_state cold_start(const limit_bounds& bounds, core::steady_time now,
                       std::chrono::milliseconds cold_for) {
    limit_state state;
    state.ramp = std::min(cold_for, longest_ramp);
    state.bounds = bounds;
    state.limit = highest(bounds);
    state.started = now;
    state.last_decrease = now;
    state.refusals.limit_before = state.limit;
    state.observed.since = now;
    return state;
}

std::uint32_t allowed(const limit_state& state, core::steady_time now) {
    return static_cast<std::uint32_t>(std::min(state.limit, ramped_bound(state, now)));
}

bool try_acquire(limit_state& state, core::steady_time now) {
    if (state.running >= allowed(state, now)) {
        return false;
    }
    ++state.running;
    return true;
}

void release(limit_state& state, run_outcome outcome, std::chrono::nanoseconds service_time,
             core::steady_time now) {
    const bool busy = state.running >= busy_share * allowed(state, now);
    const double seconds = std::chrono::duration<double>(service_time).count();
    state.running -= state.running > 0 ? 1 : 0;
    record_concurrency(state.observed, has_run(outcome) ? seconds : 0, now);
    switch (outcome) {
    case run_outcome::finished:
        smooth_service_time(state, seconds);
        record_run(state, seconds, busy, now);
        if (busy) {
            grow(state, now);
        }
        return;
    case run_outcome::refused:
        decrease(state, now);
        return;
    case run_outcome::timed_out:
        // NOTE: the run would have taken longer, so it may only raise the smoothed service time.
        smooth_service_time(state, std::max(seconds, state.typical_service_s));
        return;
    case run_outcome::failed:
    case run_outcome::cancelled:
        return;
    }
}

std::chrono::nanoseconds typical_service(const limit_state& state) {
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(state.typical_service_s));
}

} // namespace monsoonlift::concurrency
