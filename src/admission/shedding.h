/// Shedding by class and root id: the same whole requests are refused at every hop.
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

/// Ranks that are told apart; higher ones count as the last.
inline constexpr std::size_t shed_ranks = 16;

/// Position of a call within its class, in [0, shed_buckets).
[[nodiscard]] std::uint32_t position_of(const core::call_context& context);

/// Whether a call passes the threshold. Nested calls of a root admitted earlier are preferred over new roots
/// of the same class.
[[nodiscard]] bool admits(const shed_level& level, const core::call_context& context);

/// Whether nested calls of that root pass the threshold.
[[nodiscard]] bool admits_nested(const shed_level& level, core::class_rank rank, const core::root_id& root);

/// The threshold that half of those given have or exceed; the one that admits everything if there are none.
[[nodiscard]] shed_level median_level(std::vector<shed_level> levels);

/// Bounds of the rule that moves the threshold.
struct overload_settings {
    std::chrono::milliseconds window{100};     ///< Shortest time between two moves.
    std::chrono::milliseconds max_window{400}; ///< A window with few calls ends after this time.
    std::uint32_t min_samples = 16;            ///< Calls that started, for a window to end early.
    std::chrono::milliseconds target_wait{10}; ///< Mean wait that a busy server may always have.
};

/// Arrivals of one class at one gate, nested calls and new root calls apart.
struct arrival_counts {
    std::array<std::uint32_t, 2> visible{}; ///< Below the threshold, this window; index 1 is new root calls.
    std::array<double, 2> per_second{};     ///< Estimate of all arrivals, visible or not.
};

/// What one gate knows of its own overload; one per backend server.
struct overload_state {
    overload_settings settings;
    shed_level level;
    core::steady_time window_start;
    std::chrono::nanoseconds lowest_wait = std::chrono::nanoseconds::max();
    std::chrono::nanoseconds total_wait{0};
    std::uint64_t arrived = 0;  ///< This window.
    std::uint64_t admitted = 0; ///< This window.
    std::uint64_t started = 0;  ///< Calls that left the queue to run, this window.
    std::uint64_t at_once = 0;  ///< Of these, the ones that found a free slot.
    double capacity = 0;        ///< Calls a second that the backend server starts when it is busy; 0 unknown.
    std::chrono::nanoseconds typical_service{0};
    std::array<arrival_counts, shed_ranks> arrivals{};
};

/// Counts a call that reached the gate, before its fate is decided.
void record_arrival(overload_state& state, const core::call_context& context, bool admitted);

/// Tells the time that the backend server typically takes for a call: one of these is waited for at the least
/// where slots are few.
void record_service(overload_state& state, std::chrono::nanoseconds typical);

/// Feeds the time a call waited in the gate's queue before it started, zero if it started at once; moves the
/// threshold at the end of each window.
void record_wait(overload_state& state, std::chrono::nanoseconds wait, core::steady_time now);

/// Lets the threshold relax while nothing starts; call it from a timer.
void tick(overload_state& state, core::steady_time now);

} // namespace monsoonlift::admission
