#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace monsoonlift::admission {

/// A call that waits for a slot. `ticket` is the handle by which the owner of the queue identifies the call.
struct waiting_call {
    std::uint64_t ticket = 0;
    core::class_rank rank = 0;
    std::uint32_t depth = 0;
    core::steady_time arrived;
    core::steady_time deadline;
    std::uint32_t order = 0; ///< Set to order_of() for queue_order::by_position; lower is started first.
};

/// Returns the place of a call among those of its class for queue_order::by_position: calls that continue a
/// chain, of these first the ones whose chain has done more work and whose root call has a lower position;
/// then other nested calls and then root calls, by position.
[[nodiscard]] std::uint32_t order_of(const core::call_context& context);

/// Order in which waiting calls of one class are started.
enum class queue_order {
    first_come,
    last_come,
    adaptive, ///< First come, but last come while the oldest call has waited for over half the longest wait.
    earliest_deadline,
    by_position ///< By waiting_call::order, then first come; so that all hops refuse calls of the same root
                ///< calls.
};

/// Calls that wait at a gate, by class; both the waiting time and the length are bounded. A call waits for at
/// most `max_wait`, or for half the typical service time if that is longer, because slots are rarely freed
/// when runs are long and slots are few. A nested call may also wait for half the time between its arrival
/// and its deadline, because refusing it would waste the work already done for its root call.
struct call_queue {
    queue_order order = queue_order::adaptive;
    std::vector<std::deque<waiting_call>> by_rank;
    std::size_t length = 0;
    std::size_t max_length = 256;
    std::chrono::milliseconds max_wait{100};
};

/// Result of a queue operation: the call to run next, if any, and the calls removed from the queue because
/// they expired or were displaced by a preferred call, or not accepted at all.
struct queue_outcome {
    std::optional<waiting_call> next;
    std::vector<waiting_call> refused;
};

/// Adds a call. If the queue is full, the oldest call of the least preferred class is refused, provided that
/// class is less preferred than that of the new call; otherwise the new call is refused. With
/// queue_order::by_position, it is the last call of that class, and may be of the class of the new call. A
/// call whose deadline has passed is refused, as is every call if `max_length` is 0.
[[nodiscard]] queue_outcome push(call_queue& queue, const waiting_call& call, core::steady_time now);

/// Removes and returns the next call to run, and refuses calls that waited too long or cannot finish before
/// their deadline; `typical_service` is the time that a run typically takes.
[[nodiscard]] queue_outcome pop(call_queue& queue, std::chrono::nanoseconds typical_service,
                                core::steady_time now);

/// Refuses calls that waited too long or cannot finish before their deadline; returns no call to run.
[[nodiscard]] queue_outcome expire(call_queue& queue, std::chrono::nanoseconds typical_service,
                                   core::steady_time now);

/// Removes the waiting calls that the threshold no longer admits. With queue_order::by_position they would
/// otherwise wait behind all calls that it admits until their time is over.
[[nodiscard]] queue_outcome shed(call_queue& queue, const shed_level& level);

/// Removes a cancelled call; returns false if it was not in the queue.
bool remove(call_queue& queue, std::uint64_t ticket);

} // namespace monsoonlift::admission
