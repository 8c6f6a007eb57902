/// The member table of one daemon: taking in news, choosing what to send and to whom.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership {

/// Takes in one belief about a member or about this daemon itself.
void merge(swim_state& state, const member& told, core::steady_time now);

/// Takes in a rumor; one heard before is dropped.
void merge(swim_state& state, const rumor& news, core::steady_time now);

/// How often a piece of news is sent by each daemon.
[[nodiscard]] unsigned sends_for(const swim_state& state);

/// Members other than this daemon in random order, at most `count`: the alive, or if they are too few the
/// suspects; `excluded` isn't among them.
[[nodiscard]] std::vector<member> sample(swim_state& state, std::size_t count, const std::string& excluded);

/// A message of this daemon without news.
[[nodiscard]] swim_message make_message(swim_state& state, message_kind kind);

/// Takes bytes that were sent from the allowance for news.
void spend_allowance(swim_state& state, std::size_t bytes);

/// Adds the news sent least often so far, as far as the datagram's size and the allowance permit.
void add_news(swim_state& state, swim_message& message);

/// True if there is anything that add_news() would add.
[[nodiscard]] bool has_news(const swim_state& state);

/// Drops records and rumors past their time.
void expire(swim_state& state, core::steady_time now);

/// Digests of the table's buckets.
[[nodiscard]] std::vector<std::uint32_t> bucket_digests(const swim_state& state);

/// Fills one page of the table after the cursor of a request.
[[nodiscard]] swim_message make_page(swim_state& state, const swim_message& request);

/// Messages that carry every rumor kept, for a member that joins.
[[nodiscard]] std::vector<outgoing_message> make_rumor_messages(swim_state& state,
                                                                const std::string& receiver);

} // namespace monsoonlift::membership
