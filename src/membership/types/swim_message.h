#pragma once

#include "core/types/call_ids.h"
#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::membership {

/// What a datagram asks or answers.
enum class message_kind : std::uint8_t {
    probe = 1,      ///< Are you there? Answered by `ack` with the same sequence.
    ack,            ///< Answer to `probe`, or to `probe_request` once the target has answered.
    probe_request,  ///< Probe the target for me.
    gossip,         ///< News alone; no answer.
    table_request,  ///< One page of the member table after `cursor`, all buckets or one.
    table_page,     ///< Answer to `table_request`; `complete` on the last page.
    digest_request, ///< Digests of the table's buckets.
    digest_answer   ///< Answer to `digest_request`.
};

/// A short message of another module that every member hears once.
struct rumor {
    std::uint32_t topic = 0; ///< Chosen by the module that reads the payload.
    std::string payload;     ///< At most max_rumor_bytes.

    bool operator==(const rumor&) const = default;
};

/// One datagram between daemons, decoded.
struct swim_message {
    std::string fleet; ///< The sender's fleet; daemons of another one don't listen.
    message_kind kind = message_kind::probe;
    std::uint64_t sequence = 0;
    core::endpoint_id sender;
    std::string sender_membership_address;
    std::string sender_admin_address;
    std::uint64_t sender_news = 0;
    std::uint64_t revision = 0; ///< Configuration revision of the sender.
    core::endpoint_id target;   ///< Whom a probe is meant for.
    std::vector<member> news;
    std::vector<rumor> rumors;
    std::uint64_t digest = 0; ///< Digest of the sender's table; zero in an answer that carries none.
    std::vector<std::uint32_t> bucket_digests;
    std::string cursor; ///< Last address of the page before.
    bool complete = false;
    std::uint32_t bucket = 0; ///< Bucket wanted, counted from 1; 0 for all.
};

/// A datagram to send.
struct outgoing_message {
    std::string address; ///< Membership address of the receiver.
    swim_message message;
};

} // namespace monsoonlift::membership
