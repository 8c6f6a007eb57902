/// Answers requests that were meant for an earlier process of this daemon, whose sender has not learned yet
/// that it has ended. Load: the calls of a whole fleet in the seconds after a VM was restarted.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "transport/types/frame.h"

#include <optional>

namespace monsoonlift::gate {

/// The end of an attempt, and the entry to send it to.
struct misdirected_refusal {
    core::endpoint_id to;
    transport::frame message;
};

/// Returns the refusal of the request in `message`, which names an incarnation earlier than `self`;
/// nothing if the frame begins no attempt or was meant for another address. The verdict is not_run only if
/// the earlier process can't have received the request, and no earlier copy of it.
[[nodiscard]] std::optional<misdirected_refusal>
refuse_misdirected(const transport::frame& message, const core::endpoint_id& self, core::steady_time now);

} // namespace monsoonlift::gate
