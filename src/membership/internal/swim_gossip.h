/// Spreading news beside the probes, within an allowance of bytes.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Adds what the allowance gains in `elapsed`.
void refill_allowance(swim_state& state, std::chrono::nanoseconds elapsed);

/// Sends news to a few members while there is any and the allowance lasts.
void gossip(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Tells several members at once, whatever the allowance.
[[nodiscard]] std::vector<outgoing_message> push(swim_state& state);

} // namespace monsoonlift::membership::internal
