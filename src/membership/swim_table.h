/// The member table of one daemon: merges received updates, chooses which to send and to whom.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership {

/// Merges a record of another member or of this daemon itself.
void merge(swim_state& state, const member& record, core::steady_time now);

/// Stores a rumor; one that was received before, or is larger than max_rumor_bytes, is dropped.
void merge(swim_state& state, const rumor& record, core::steady_time now);

/// Number of times that each daemon sends an update.
[[nodiscard]] unsigned sends_for(const swim_state& state);

/// Returns at most `count` other members in random order: alive ones, or suspected ones if fewer than `count`
/// are alive. Never returns the member with transport address `excluded`.
[[nodiscard]] std::vector<member> sample(swim_state& state, std::size_t count, const std::string& excluded);

/// Creates a message of this daemon without member records and rumors.
[[nodiscard]] swim_message make_message(swim_state& state, message_kind kind);

/// Deducts bytes that were sent or received from the gossip allowance.
void spend_allowance(swim_state& state, std::size_t bytes);

/// Adds the rumors and records sent least often so far, as far as datagram size and allowance permit.
void add_updates(swim_state& state, swim_message& message);

/// True if updates, rumors or a raised configuration revision are waiting to be sent.
[[nodiscard]] bool has_updates(const swim_state& state);

/// Drops members, rumors and relayed probes whose retention time has passed.
void expire(swim_state& state, core::steady_time now);

/// Digests of the table's buckets, to which members are assigned by a hash of their transport address.
[[nodiscard]] std::vector<std::uint32_t> bucket_digests(const swim_state& state);

/// Creates the page of the table that follows the cursor of a request.
[[nodiscard]] swim_message make_page(swim_state& state, const swim_message& request);

/// Creates messages with all retained rumors, for a member that joins.
[[nodiscard]] std::vector<outgoing_message> make_rumor_messages(swim_state& state,
                                                                const std::string& receiver);

} // namespace monsoonlift::membership
