#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace monsoonlift::admission {

/// One call that waits for a slot. `ticket` is the owner's handle.
struct waiting_call {
    std::uint64_t ticket = 0;
    core::class_rank rank = 0;
    std::uint32_t depth = 0;
    core::steady_time arrived;
    core::steady_time deadline;
};

/// Order among waiting calls of one class.
enum class queue_order {
    first_come,
    last_come,
    adaptive, ///< First come, but last come while the oldest has waited for half of the allowed time.
    earliest_deadline
};

/// Calls that wait at a gate, by class; bounded in time and in length. A call waits no longer than
/// `max_wait`, or half a run where that is longer: a slot seldom comes free where runs are long and slots
/// few. A nested call may wait for half of its time, since its root has cost work that a refusal would waste.
struct call_queue {
    queue_order order = queue_order::adaptive;
    std::vector<std::deque<waiting_call>> by_rank;
    std::size_t length = 0;
    std::size_t max_length = 256;
    std::chrono::milliseconds max_wait{100};
};

/// What happened to the queue: the call to run next, and those that waited too long or were pushed out.
struct queue_outcome {
    std::optional<waiting_call> next;
    std::vector<waiting_call> refused;
};

/// Adds a call; under pressure a call of a lower class is pushed out, or the new one itself is refused.
[[nodiscard]] queue_outcome push(call_queue& queue, const waiting_call& call, core::steady_time now);

/// Takes the next call to run and drops those that can't finish in time; `typical_service` is the time one
/// run takes.
[[nodiscard]] queue_outcome pop(call_queue& queue, std::chrono::nanoseconds typical_service,
                                core::steady_time now);

/// Drops calls that waited too long without taking one.
[[nodiscard]] queue_outcome expire(call_queue& queue, std::chrono::nanoseconds typical_service,
                                   core::steady_time now);

/// Removes a call that was cancelled; false if it was not waiting.
bool remove(call_queue& queue, std::uint64_t ticket);

} // namespace monsoonlift::admission
