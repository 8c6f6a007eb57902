/// Fetching the table from peers in pages: on joining, and where digests show that tables differ.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Asks a peer for the page after `cursor`: of one bucket, or of the whole table with bucket 0.
[[nodiscard]] outgoing_message ask_for_page(swim_state& state, const std::string& peer, std::uint32_t bucket,
                                            const std::string& cursor);

/// Asks a peer for its table while this daemon hasn't joined, or knows nobody who is present.
void join(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Answers with one page; the last page of a whole table is followed by the rumors.
void answer_table_request(swim_state& state, const std::string& from, const swim_message& request,
                          std::vector<outgoing_message>& out);

/// Goes on to the next page, or ends the joining.
void take_page(swim_state& state, const std::string& from, const swim_message& page, core::steady_time now,
               std::vector<outgoing_message>& out);

/// Asks a peer for the digests of its buckets if tables have differed for long.
void compare_digest(swim_state& state, const std::string& from, const swim_message& message,
                    core::steady_time now, std::vector<outgoing_message>& out);

/// Sends the digests of this daemon's buckets.
void answer_digest_request(swim_state& state, const std::string& from, std::vector<outgoing_message>& out);

/// Asks for one of the buckets that differ.
void take_bucket_digests(swim_state& state, const std::string& from, const swim_message& answer,
                         std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
