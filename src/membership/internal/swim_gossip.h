/// Spreading news beside the probes, within an allowance of bytes.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Adds what the allowance gains in `elapsed`.
void refill_allowance(swim_state& state, std::chrono::nanoseconds elapsed);

/// Sends news to a few members while there is any and the allowance lasts.
void gossip(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Tells several members at once what the allowance bears, and at least the revision.
[[nodiscard]] std::vector<outgoing_message> push(swim_state& state);

/// Begins to tell this daemon's own record to other members, whatever the allowance. Answers fleets that
/// start at once: all owe for the tables they have exchanged, and until that is paid nobody would hear of a
/// backend server.
[[nodiscard]] std::vector<outgoing_message> begin_telling(swim_state& state);

/// Tells it to some more of them when that is due.
void tell_own_record(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
