/// Detecting failures: probes, probes on behalf of others, suspicion. What is to be sent goes to `out`.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// After a stall of this process nobody's silence means anything.
void forgive_own_stall(swim_state& state, core::steady_time now);

/// Asks others to probe a member that doesn't answer, then suspects it.
void check_awaited_ack(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Takes members for dead whose suspicion ran out.
void check_suspicions(swim_state& state, core::steady_time now);

/// Probes the next member of the shuffled order when its time has come.
void probe_next(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Members on the other side of a cut link are found again by probing the dead now and then.
void probe_some_dead_member(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Answers a probe of this daemon.
void answer_probe(swim_state& state, const std::string& from, const swim_message& probe,
                  std::vector<outgoing_message>& out);

/// Takes in an answer to a probe; one probed for another member is passed on to it.
void take_ack(swim_state& state, const swim_message& ack, std::vector<outgoing_message>& out);

/// Probes a member because another one asks for it.
void probe_for_other(swim_state& state, const std::string& from, const swim_message& request,
                     core::steady_time now, std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
