#pragma once

#include "core/types/call_ids.h"
#include "membership/types/member.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::membership {

/// Type of a request or answer between daemons.
enum class message_kind : std::uint8_t {
    probe = 1,      ///< Checks that the target is up; answered by `ack` with the same sequence.
    ack,            ///< Answer to `probe`, or to `probe_request` once the target has answered.
    probe_request,  ///< Asks the receiver to probe the target (indirect probe).
    gossip,         ///< Carries only member records and rumors; not answered.
    table_request,  ///< Requests the page of the member table after `cursor`, of all buckets or one.
    table_page,     ///< Answer to `table_request`; `complete` on the last page.
    digest_request, ///< Requests the digests of the table's buckets.
    digest_answer   ///< Answer to `digest_request`.
};

/// A short message of another module that is delivered to every member once.
struct rumor {
    std::uint32_t topic = 0; ///< Chosen by the module that reads the payload.
    std::string payload;     ///< At most max_rumor_bytes.

    bool operator==(const rumor&) const = default;
};

/// One datagram between daemons, decoded.
struct swim_message {
    std::string fleet; ///< The sender's fleet; daemons of other fleets ignore the message.
    message_kind kind = message_kind::probe;
    std::uint64_t sequence = 0;
    core::endpoint_id sender;
    std::string sender_membership_address;
    std::string sender_admin_address;
    std::uint64_t sender_update_number = 0; ///< member::update_number of the sender.
    std::uint64_t revision = 0;             ///< Configuration revision of the sender.
    core::endpoint_id target;               ///< The member to probe.
    std::vector<member> records;            ///< Member records.
    std::vector<rumor> rumors;
    std::uint64_t digest = 0; ///< Digest of the sender's table; zero in an answer that carries none.
    std::vector<std::uint32_t> bucket_digests;
    std::string cursor; ///< Last transport address of the previous page.
    bool complete = false;
    std::uint32_t bucket = 0; ///< Requested bucket, counted from 1; 0 for all.
};

/// A datagram to send.
struct outgoing_message {
    std::string address; ///< Membership address of the receiver.
    swim_message message;
};

} // namespace monsoonlift::membership
