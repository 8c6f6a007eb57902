/// Load shedding by class and root id. All hops order roots in the same way, so they refuse the calls of the
/// same roots.
#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoonlift::admission {

/// Number of distinct ranks; higher ranks are treated as the last one.
inline constexpr std::size_t shed_ranks = 16;

/// Returns the position of a call within its class, in [0, shed_buckets). Lower positions are shed later.
[[nodiscard]] std::uint32_t position_of(const core::call_context& context);

/// Returns the position of the root call of a call, in [0, root_buckets).
[[nodiscard]] std::uint32_t root_position(const core::call_context& context);

/// Whether work of other services would be lost if the call were refused.
[[nodiscard]] bool continues_chain(const core::call_context& context);

/// Returns whether a call passes the threshold. Nested calls are preferred over new root calls of the same
/// class, because their root calls have been admitted already. A call that continues a chain passes unless
/// its whole class is refused.
[[nodiscard]] bool admits(const shed_level& level, const core::call_context& context);

/// Returns whether the first nested calls of the root call of `context` pass the threshold.
[[nodiscard]] bool admits_nested(const shed_level& level, const core::call_context& context);

/// Returns the median of the thresholds, ordered by strictness (the less strict of the middle two for an even
/// number); the threshold that admits everything if `levels` is empty.
[[nodiscard]] shed_level median_level(std::vector<shed_level> levels);

/// Parameters of the rule that adjusts the threshold.
struct overload_settings {
    std::chrono::milliseconds window{100};     ///< Shortest time between two adjustments.
    std::chrono::milliseconds max_window{400}; ///< A window with few calls ends after this time.
    std::uint32_t min_samples = 16;            ///< Started calls needed to end a window before `max_window`.
    std::chrono::milliseconds target_wait{10}; ///< Lower bound of the target for the mean wait.

    /// Whether overload is detected from the queue and from late timers, rather than from the waits of
    /// started calls. These are short under overload if the queue runs the last call first.
    bool watches_queue = false;
};

/// State of a gate's queue in one window.
struct queue_samples {
    std::uint64_t unserved = 0;           ///< Calls that left the queue without being started or cancelled.
    bool was_empty = false;               ///< The queue was empty at some moment.
    std::uint64_t samples = 0;            ///< Samples taken by record_queue().
    std::uint64_t total = 0;              ///< Sum of the lengths in these samples.
    std::uint64_t timers = 0;             ///< Timers that record_lateness() reported.
    std::chrono::nanoseconds lateness{0}; ///< Sum of their lateness, each counted up to a bound.
};

/// Arrivals of one class at one gate; index 0 is nested calls, index 1 is new root calls.
struct arrival_counts {
    std::array<std::uint32_t, 2> visible{}; ///< Calls admitted by the threshold in this window.
    std::array<double, 2> per_second{}; ///< Estimated rate of all arrivals, including those refused earlier.

    std::uint32_t continuing = 0;     ///< Admitted calls in this window that continue a chain.
    double continuing_per_second = 0; ///< Their smoothed rate.
    double long_continuing = 0;       ///< Their rate, smoothed over seconds.
    double long_first = 0;            ///< Rate of the other admitted nested calls, smoothed over seconds.
};

/// Overload state of a gate, one per backend server.
struct overload_state {
    overload_settings settings;
    shed_level level;
    core::steady_time window_start;
    std::chrono::nanoseconds lowest_wait = std::chrono::nanoseconds::max();
    std::chrono::nanoseconds total_wait{0};
    std::uint64_t arrived = 0;  ///< Calls that reached the gate in this window.
    std::uint64_t admitted = 0; ///< Calls that passed the threshold in this window.
    std::uint64_t started = 0;  ///< Calls that began to run in this window.
    std::uint64_t at_once = 0;  ///< Calls in `started` that did not have to wait for a slot.
    double capacity = 0;        ///< Calls per second that the backend server starts when busy; 0 if unknown.
    std::chrono::nanoseconds typical_service{0};
    std::array<arrival_counts, shed_ranks> arrivals{};
    queue_samples queue; ///< Used only with `watches_queue`.
};

/// Counts a call that reached the gate; `admitted` says whether it passed the threshold.
void record_arrival(overload_state& state, const core::call_context& context, bool admitted);

/// Sets the time that the backend server typically takes for a call. It is the target for the mean wait if it
/// exceeds `target_wait`, because calls wait for at least one service time when slots are few.
void record_service(overload_state& state, std::chrono::nanoseconds typical);

/// Records how long a call waited in the gate's queue before it started, zero if it started at once; adjusts
/// the threshold at the end of each window.
void record_wait(overload_state& state, std::chrono::nanoseconds wait, core::steady_time now);

/// Records the number of waiting calls; call it from a timer.
void record_queue(overload_state& state, std::size_t length);

/// Records that a call found no other call waiting and a free slot.
void record_empty_queue(overload_state& state);

/// Records calls that were removed from the queue because they waited too long or could not end in time.
void record_unserved(overload_state& state, std::size_t calls);

/// Records how late a periodic timer of the process fired, which shows a shortage of processor time.
void record_lateness(overload_state& state, std::chrono::nanoseconds lateness);

/// Ends the window if it is due, so that the threshold also relaxes while no call starts; call it from a
/// timer.
void tick(overload_state& state, core::steady_time now);

} // namespace monsoonlift::admission
