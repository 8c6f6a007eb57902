#include "admission/shedding.h"

#include "admission/shed_level_text.h"

#include <algorithm>

namespace monsoonlift::admission {

namespace {

/// Share of the estimated capacity that is admitted while the server is overloaded.
constexpr double overloaded_share = 1.0;

/// Share of the estimated capacity that is admitted while the server is not overloaded.
constexpr double relaxed_share = 1.1;

/// Weights of the newest window in the smoothed arrival rates and in the smoothed capacity.
constexpr double newest_rate_weight = 0.2;
constexpr double newest_rate_weight_if_idle = 0.6;
constexpr double newest_capacity_weight = 0.5;

/// Factor by which the estimated capacity decays after a window without overload, unless more calls started.
constexpr double capacity_decay = 0.98;

/// Factor per window by which an arrival rate decays while its calls are refused before they reach the gate,
/// so that the gate cannot count them.
constexpr double unseen_decay = 0.85;
constexpr double unseen_decay_if_idle = 0.5;

/// A window is idle if calls started at less than `idle_share` of the estimated capacity and at least
/// `idle_at_once_share` of the started calls found a free slot on arrival.
constexpr double idle_share = 0.9;
constexpr double idle_at_once_share = 0.25;

/// Target for the mean wait of a busy server, as a multiple of the typical service time; a shorter queue
/// would leave slots idle.
constexpr double target_service_times = 1.0;

std::size_t rank_index(core::class_rank rank) {
    return std::min<std::size_t>(rank, shed_ranks - 1);
}

std::size_t kind_of(const core::call_context& context) {
    return context.depth == 0 ? 1 : 0;
}

bool admits_position(const shed_level& level, core::class_rank rank, std::uint32_t position) {
    const auto counted = static_cast<core::class_rank>(rank_index(rank));
    return counted != level.rank ? counted < level.rank : position < level.bucket;
}

double blend(double old, double fresh, double weight) {
    return old == 0 ? fresh : old + weight * (fresh - old);
}

/// Share of the positions of one kind of call (0 nested calls, 1 new root calls) that lies below the
/// threshold.
double visible_share(const shed_level& level, std::size_t rank, std::size_t kind) {
    if (rank != level.rank) {
        return rank < level.rank ? 1 : 0;
    }
    const double first = static_cast<double>(kind * root_buckets);
    return std::clamp((static_cast<double>(level.bucket) - first) / root_buckets, 0.0, 1.0);
}

void update_estimates(overload_state& state, double seconds, bool idle) {
    const double weight = idle ? newest_rate_weight_if_idle : newest_rate_weight;
    const double decay = idle ? unseen_decay_if_idle : unseen_decay;
    for (std::size_t rank = 0; rank < shed_ranks; ++rank) {
        for (std::size_t kind = 0; kind < 2; ++kind) {
            auto& counts = state.arrivals[rank];
            const double share = visible_share(state.level, rank, kind);
            if (share < 0.05) {
                counts.per_second[kind] *= decay;
            } else {
                counts.per_second[kind] =
                    blend(counts.per_second[kind], counts.visible[kind] / seconds / share, weight);
            }
            counts.visible[kind] = 0;
        }
    }
}

/// Returns the threshold below which the estimated arrivals add up to `budget` calls per second.
shed_level level_for(const overload_state& state, double budget) {
    double left = budget;
    for (std::size_t rank = 0; rank < shed_ranks; ++rank) {
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const double rate = state.arrivals[rank].per_second[kind];
            if (rate > left) {
                const auto buckets = static_cast<std::uint32_t>(left / rate * root_buckets);
                return {static_cast<core::class_rank>(rank),
                        static_cast<std::uint32_t>(kind) * root_buckets + buckets};
            }
            left -= rate;
        }
    }
    return {};
}

void start_window(overload_state& state, core::steady_time now) {
    state.window_start = now;
    state.lowest_wait = std::chrono::nanoseconds::max();
    state.total_wait = std::chrono::nanoseconds::zero();
    state.arrived = 0;
    state.admitted = 0;
    state.started = 0;
    state.at_once = 0;
}

std::chrono::nanoseconds mean_wait(const overload_state& state) {
    if (state.started == 0) {
        return std::chrono::nanoseconds::zero();
    }
    return state.total_wait / static_cast<std::int64_t>(state.started);
}

bool is_idle(const overload_state& state, double started_per_second) {
    const bool found_free_slots =
        static_cast<double>(state.at_once) >= idle_at_once_share * static_cast<double>(state.started);
    return found_free_slots && started_per_second < idle_share * state.capacity;
}

std::chrono::nanoseconds target_wait(const overload_state& state) {
    const auto service_times = std::chrono::duration_cast<std::chrono::nanoseconds>(
        target_service_times * std::chrono::duration<double>(state.typical_service));
    return std::max<std::chrono::nanoseconds>(state.settings.target_wait, service_times);
}

bool is_overloaded(const overload_state& state) {
    if (state.started == 0 || state.lowest_wait <= std::chrono::nanoseconds::zero()) {
        return false;
    }
    return mean_wait(state) > target_wait(state) ||
           static_cast<double>(state.admitted) > 1.2 * static_cast<double>(state.started);
}

void end_window(overload_state& state, core::steady_time now) {
    const double seconds = std::chrono::duration<double>(now - state.window_start).count();
    const bool overloaded = is_overloaded(state);
    const double started = static_cast<double>(state.started) / seconds;
    update_estimates(state, seconds, is_idle(state, started));
    if (overloaded) {
        state.capacity = blend(state.capacity, started, newest_capacity_weight);
        state.level = level_for(state, overloaded_share * state.capacity);
    } else {
        state.capacity = std::max(capacity_decay * state.capacity, started);
        if (state.level != shed_level{}) {
            state.level =
                std::max(state.level, level_for(state, relaxed_share * state.capacity), is_stricter);
        }
    }
    start_window(state, now);
}

bool window_is_over(const overload_state& state, core::steady_time now) {
    const auto age = now - state.window_start;
    if (age >= state.settings.max_window) {
        return true;
    }
    return age >= state.settings.window && state.started >= state.settings.min_samples;
}

} // namespace

std::string to_string(const shed_level& level) {
    return std::to_string(level.rank) + "/" + std::to_string(level.bucket);
}

std::uint32_t position_of(const core::call_context& context) {
    return static_cast<std::uint32_t>(kind_of(context)) * root_buckets +
           core::bucket_of(context.root, root_buckets);
}

bool admits(const shed_level& level, const core::call_context& context) {
    return admits_position(level, context.rank, position_of(context));
}

bool admits_nested(const shed_level& level, core::class_rank rank, const core::root_id& root) {
    return admits_position(level, rank, core::bucket_of(root, root_buckets));
}

shed_level median_level(std::vector<shed_level> levels) {
    if (levels.empty()) {
        return {};
    }
    const auto middle = levels.begin() + static_cast<std::ptrdiff_t>(levels.size() / 2);
    std::nth_element(levels.begin(), middle, levels.end(), is_stricter);
    return *middle;
}

void record_arrival(overload_state& state, const core::call_context& context, bool admitted) {
    ++state.arrived;
    if (!admitted) {
        return;
    }
    ++state.admitted;
    ++state.arrivals[rank_index(context.rank)].visible[kind_of(context)];
}

void record_service(overload_state& state, std::chrono::nanoseconds typical) {
    state.typical_service = typical;
}

void record_wait(overload_state& state, std::chrono::nanoseconds wait, core::steady_time now) {
    state.lowest_wait = std::min(state.lowest_wait, wait);
    state.total_wait += wait;
    ++state.started;
    state.at_once += wait <= std::chrono::nanoseconds::zero() ? 1 : 0;
    tick(state, now);
}

void tick(overload_state& state, core::steady_time now) {
    if (state.window_start == core::steady_time{}) {
        start_window(state, now);
        return;
    }
    if (window_is_over(state, now)) {
        end_window(state, now);
    }
}

} // namespace monsoonlift::admission
