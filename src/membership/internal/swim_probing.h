/// Failure detection: probes, indirect probes, suspicion. Messages to send are appended to `out`.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Cancels the outstanding probe and restarts all suspicion timers if this process was stalled for more than
/// 2 probe intervals: it received nothing in that time, so missing answers don't indicate failures.
void reset_timers_after_stall(swim_state& state, core::steady_time now);

/// Requests indirect probes if the probed member hasn't answered within `ack_timeout`; suspects the member if
/// it hasn't answered within `probe_interval`.
void check_awaited_ack(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Declares members dead whose suspicion has timed out.
void check_suspicions(swim_state& state, core::steady_time now);

/// Probes the next member of the shuffled order if the probe interval has passed and no ack is awaited.
void probe_next(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Probes a random dead member every `dead_probe_interval`, so that members on the two sides of a network
/// partition find each other again.
void probe_random_dead_member(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Answers a probe of this daemon; ignores one whose target has another transport address.
void answer_probe(swim_state& state, const std::string& from, const swim_message& probe,
                  std::vector<outgoing_message>& out);

/// Processes an ack; the ack of a probe made for another member is relayed to that member.
void handle_ack(swim_state& state, const swim_message& ack, std::vector<outgoing_message>& out);

/// Probes the target of a probe request on behalf of the requester; ignores an unknown target.
void probe_on_request(swim_state& state, const std::string& from, const swim_message& request,
                      core::steady_time now, std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
