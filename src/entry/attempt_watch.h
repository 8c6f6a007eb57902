/// Decides when an entry ends an attempt whose gate says nothing. Load: calls at a VM that membership takes
/// for unreachable or gone, rightly or not. What membership says steers new work; an attempt in progress ends
/// by its own link only. So the gate is asked about the attempt, and the attempt ends if no frame of it
/// arrives in time and the call can be sent to another gate. Any other attempt goes on until its answer or
/// its deadline.
#pragma once

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace monsoonlift::entry {

/// Time in which a gate that was asked about an attempt must send a frame of it.
inline constexpr std::chrono::milliseconds gate_reply_timeout{500};

/// Time without a frame after which an attempt ends whose gate's process was replaced by a later one; what
/// the earlier process has sent may still be on its way.
inline constexpr std::chrono::milliseconds last_frames_timeout{200};

/// State of one attempt.
struct attempt_watch {
    std::optional<core::steady_time> reply_due; ///< Set while the gate's reply is awaited.
    bool is_replaced = false;                   ///< A later process runs at the gate's address.
};

/// Records that membership doubts the gate; returns whether the gate is to be asked now. `can_be_repeated`
/// tells whether the call is idempotent and its whole request is at hand.
[[nodiscard]] bool note_doubt(attempt_watch& watch, bool can_be_repeated, core::steady_time now);

/// Records that a later process runs at the gate's address.
void note_replaced(attempt_watch& watch, core::steady_time now);

/// Records that a frame of the attempt arrived from the gate.
void note_frame(attempt_watch& watch, core::steady_time now);

/// Whether the gate has not replied in time, so that the attempt ends.
[[nodiscard]] bool is_given_up(const attempt_watch& watch, core::steady_time now);

/// Returns until when to wait for the next event of an attempt with this deadline.
[[nodiscard]] core::steady_time wait_until(const attempt_watch& watch, core::steady_time deadline);

} // namespace monsoonlift::entry
