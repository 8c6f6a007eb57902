/// Gossip in addition to the updates that probes carry, limited by a byte allowance.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Refills the allowance for the time `elapsed`.
void refill_allowance(swim_state& state, std::chrono::nanoseconds elapsed);

/// Sends updates to a few random members if the gossip interval has passed, any are waiting and the allowance
/// is positive.
void gossip(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Creates messages to several random members with the updates that the allowance permits, and in any case
/// the configuration revision.
[[nodiscard]] std::vector<outgoing_message> push(swim_state& state);

/// Starts sending this daemon's own record to other members, regardless of the allowance. Needed when a whole
/// fleet starts at once: the table exchange has made every allowance negative, and until it's refilled no
/// member would learn of a new backend server.
[[nodiscard]] std::vector<outgoing_message> begin_sending_self(swim_state& state);

/// Sends this daemon's own record to the next members in `self_receivers` when the gossip interval has
/// passed.
void continue_sending_self(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
