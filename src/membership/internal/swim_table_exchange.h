/// Exchange of the member table in pages: on joining, and for buckets whose digests differ.
#pragma once

#include "membership/swim.h"

namespace monsoonlift::membership::internal {

/// Creates a request for the page after `cursor` of one bucket, or of the complete table if `bucket` is 0.
[[nodiscard]] outgoing_message make_page_request(swim_state& state, const std::string& peer,
                                                 std::uint32_t bucket, const std::string& cursor);

/// Requests a peer's table, with backoff, while this daemon hasn't joined or knows no alive or suspected
/// member.
void join(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out);

/// Answers with one page; the last page of the complete table is followed by the retained rumors.
void answer_table_request(swim_state& state, const std::string& from, const swim_message& request,
                          std::vector<outgoing_message>& out);

/// Requests the next page, or completes joining after the last page of the complete table.
void handle_page(swim_state& state, const std::string& from, const swim_message& page, core::steady_time now,
                 std::vector<outgoing_message>& out);

/// Requests a peer's bucket digests if the table digests have differed for `digest_patience`, or for
/// `digest_patience_crowded` while many updates wait.
void compare_digest(swim_state& state, const std::string& from, const swim_message& message,
                    core::steady_time now, std::vector<outgoing_message>& out);

/// Answers with the digests of this daemon's buckets.
void answer_digest_request(swim_state& state, const std::string& from, std::vector<outgoing_message>& out);

/// Requests a random one of the buckets whose digests differ.
void handle_bucket_digests(swim_state& state, const std::string& from, const swim_message& answer,
                           std::vector<outgoing_message>& out);

} // namespace monsoonlift::membership::internal
