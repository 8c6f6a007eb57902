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

/// A window counts as overloaded if this share of the calls that left the queue was not served.
constexpr double unserved_share = 0.05;

/// Mean lateness of the timers above which the process is short of processor time.
constexpr std::chrono::milliseconds lateness_bound{10};

/// Bound for one timer's lateness, so that a single pause of the VM is not taken for a lasting shortage.
constexpr std::chrono::milliseconds most_lateness{25};
constexpr std::uint64_t min_timers = 3;

/// Share of the calls started in a window that is admitted while the process is short of processor time.
/// Started calls then show what the process can do, and their number must fall for its backlog to end.
constexpr double late_share = 0.9;

/// Calls that leave the queue unserved count only if there are as many, because a server of few slots starts
/// few calls in a window.
constexpr std::uint64_t min_unserved = 4;

/// Wait that a backlog may cause before it is worked off; a shorter queue leaves the slots of servers with
/// few slots idle.
constexpr std::chrono::milliseconds backlog_wait{50};

/// Time in which the calls that wait beyond the target are to be worked off, and the least share of the
/// capacity that is admitted meanwhile.
constexpr double backlog_seconds = 0.5;
constexpr double least_share_with_backlog = 0.5;

/// Weight of a window in the rates from which the number of continuing calls per first call follows.
constexpr double long_weight = 0.05;

/// Weight of the newest window in the smoothed rate of calls that continue a chain, and in a rate that rises
/// while the queue is overloaded.
constexpr double newest_continuing_weight = 0.5;
constexpr double newest_rate_weight_if_rising = 0.5;

/// Share of the budget that continuing and first calls together may reach, so that noise in the rate of the
/// former does not leave slots idle.
constexpr double chain_tolerance = 1.05;

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

double seconds_of(std::chrono::nanoseconds time) {
    return std::chrono::duration<double>(time).count();
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

/// Updates the rates of calls that continue chains, and of those they follow.
void update_chain_rates(arrival_counts& counts, double seconds) {
    const double continuing = counts.continuing / seconds;
    counts.continuing_per_second = blend(counts.continuing_per_second, continuing, newest_continuing_weight);
    counts.long_continuing += long_weight * (continuing - counts.long_continuing);
    counts.long_first += long_weight * (counts.visible[0] / seconds - counts.long_first);
    counts.continuing = 0;
}

/// Returns how many continuing calls follow a first nested call on average.
double followers(const arrival_counts& counts) {
    return counts.long_first > 0 ? counts.long_continuing / counts.long_first : 0;
}

double rate_weight(const overload_state& state, double old, double fresh, bool idle) {
    if (idle) {
        return newest_rate_weight_if_idle;
    }
    return state.settings.watches_queue && fresh > old ? newest_rate_weight_if_rising : newest_rate_weight;
}

void update_estimates(overload_state& state, double seconds, bool idle) {
    const double decay = idle ? unseen_decay_if_idle : unseen_decay;
    for (std::size_t rank = 0; rank < shed_ranks; ++rank) {
        auto& counts = state.arrivals[rank];
        update_chain_rates(counts, seconds);
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const double share = visible_share(state.level, rank, kind);
            if (share < 0.05) {
                counts.per_second[kind] *= decay;
            } else {
                const double old = counts.per_second[kind];
                const double fresh = counts.visible[kind] / seconds / share;
                counts.per_second[kind] = blend(old, fresh, rate_weight(state, old, fresh, idle));
            }
            counts.visible[kind] = 0;
        }
    }
}

/// Returns how many first nested calls of a class fit into `left` calls per second, with those that follow.
double first_calls_within(const arrival_counts& counts, double left) {
    const double lasting = left / (1 + followers(counts));
    if (counts.continuing_per_second <= 0) {
        return lasting;
    }
    return std::min(lasting, std::max(0.0, chain_tolerance * left - counts.continuing_per_second));
}

/// Returns the threshold below which the estimated arrivals add up to `budget` calls per second.
shed_level level_for(const overload_state& state, double budget) {
    double left = budget;
    for (std::size_t rank = 0; rank < shed_ranks; ++rank) {
        const auto& counts = state.arrivals[rank];
        for (std::size_t kind = 0; kind < 2; ++kind) {
            const double rate = counts.per_second[kind];
            const double allowed = kind == 0 ? first_calls_within(counts, left) : left;
            if (rate > allowed) {
                const bool has_chains = kind == 0 && counts.continuing_per_second > 0;
                const auto buckets = static_cast<std::uint32_t>(allowed / rate * root_buckets);
                return {static_cast<core::class_rank>(rank), static_cast<std::uint32_t>(kind) * root_buckets +
                                                                 std::max(buckets, has_chains ? 1U : 0U)};
            }
            left -= kind == 0 ? std::max(rate * (1 + followers(counts)), rate + counts.continuing_per_second)
                              : rate;
            left = std::max(left, 0.0);
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
    state.queue = {};
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

double mean_length(const queue_samples& queue) {
    return queue.samples > 0 ? static_cast<double>(queue.total) / static_cast<double>(queue.samples) : 0;
}

/// Whether the process handles frames late, so that its queue is short and yet calls are late.
bool is_short_of_processor_time(const overload_state& state) {
    const auto& queue = state.queue;
    return queue.timers >= min_timers &&
           queue.lateness > lateness_bound * static_cast<std::int64_t>(queue.timers);
}

/// Whether calls wait for too long, in whichever order they are started: by the law of Little, the mean wait
/// is the mean length of the queue divided by the rate at which calls leave it.
bool is_queue_overloaded(const overload_state& state, double started_per_second) {
    const auto& queue = state.queue;
    if (queue.was_empty) {
        return false;
    }
    const auto left_queue = static_cast<double>(state.started + queue.unserved);
    if (queue.unserved >= min_unserved && static_cast<double>(queue.unserved) > unserved_share * left_queue) {
        return true;
    }
    const double allowed = seconds_of(target_wait(state)) * started_per_second;
    return queue.samples > 0 && mean_length(queue) > allowed;
}

/// Returns how many calls per second an overloaded gate admits.
double overloaded_budget(const overload_state& state, double started_per_second) {
    if (!state.settings.watches_queue) {
        return overloaded_share * state.capacity;
    }
    if (is_short_of_processor_time(state)) {
        return late_share * started_per_second;
    }
    const auto allowed_wait = std::max<std::chrono::nanoseconds>(target_wait(state), backlog_wait);
    const double allowed = seconds_of(allowed_wait) * state.capacity;
    const double excess = std::max(0.0, mean_length(state.queue) - allowed);
    return std::max(least_share_with_backlog * state.capacity,
                    overloaded_share * state.capacity - excess / backlog_seconds);
}

bool is_overloaded(const overload_state& state, double started_per_second) {
    if (state.settings.watches_queue) {
        return is_queue_overloaded(state, started_per_second) || is_short_of_processor_time(state);
    }
    if (state.started == 0 || state.lowest_wait <= std::chrono::nanoseconds::zero()) {
        return false;
    }
    return mean_wait(state) > target_wait(state) ||
           static_cast<double>(state.admitted) > 1.2 * static_cast<double>(state.started);
}

void end_window(overload_state& state, core::steady_time now) {
    const double seconds = std::chrono::duration<double>(now - state.window_start).count();
    const double started = static_cast<double>(state.started) / seconds;
    const bool overloaded = is_overloaded(state, started);
    update_estimates(state, seconds, is_idle(state, started));
    if (overloaded) {
        state.capacity = blend(state.capacity, started, newest_capacity_weight);
        state.level = level_for(state, overloaded_budget(state, started));
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
    return static_cast<std::uint32_t>(kind_of(context)) * root_buckets + root_position(context);
}

std::uint32_t root_position(const core::call_context& context) {
    return context.position ? std::min(*context.position, root_buckets - 1)
                            : core::bucket_of(context.root, root_buckets);
}

bool continues_chain(const core::call_context& context) {
    return context.depth > 0 && context.work_spent > 0;
}

bool admits(const shed_level& level, const core::call_context& context) {
    if (continues_chain(context)) {
        return admits_position(level, context.rank, 0);
    }
    return admits_position(level, context.rank, position_of(context));
}

bool admits_nested(const shed_level& level, const core::call_context& context) {
    return admits_position(level, context.rank, root_position(context));
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
    if (continues_chain(context)) {
        ++state.arrivals[rank_index(context.rank)].continuing;
        return;
    }
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

void record_queue(overload_state& state, std::size_t length) {
    ++state.queue.samples;
    state.queue.total += length;
    state.queue.was_empty = state.queue.was_empty || length == 0;
}

void record_empty_queue(overload_state& state) {
    state.queue.was_empty = true;
}

void record_unserved(overload_state& state, std::size_t calls) {
    state.queue.unserved += calls;
}

void record_lateness(overload_state& state, std::chrono::nanoseconds lateness) {
    ++state.queue.timers;
    state.queue.lateness +=
        std::clamp<std::chrono::nanoseconds>(lateness, std::chrono::nanoseconds::zero(), most_lateness);
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
