/// Rules of membership: failure detection by probes, indirect probes and suspicion, and dissemination by
/// gossip (SWIM). Free functions over a plain struct: the caller passes the time and the random seed and
/// sends the messages returned.
///
/// Each member probes one other member per second in a shuffled order. If the target doesn't answer, a few
/// other members are asked to probe it (indirect probes); if those get no answer either, a suspicion is
/// gossiped, which the suspect refutes by raising its `update_number`. A suspicion that isn't refuted in time
/// is gossiped as death. Only the member itself raises its `update_number`, so all daemons agree which of two
/// records is the later one (see supersedes()). Records of dead members are retained for a while, so that old
/// gossip can't revive them and members on the two sides of a network partition find each other again.
#pragma once

#include "core/clock.h"
#include "membership/types/member.h"
#include "membership/types/swim_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace monsoonlift::membership {

/// Times and bounds of the protocol.
struct swim_limits {
    std::chrono::milliseconds probe_interval{1000};
    std::chrono::milliseconds ack_timeout{250};
    std::chrono::milliseconds gossip_interval{200};         ///< Between gossip messages while updates wait.
    std::chrono::milliseconds gossip_interval_crowded{500}; ///< Replaces gossip_interval while crowded.
    std::chrono::milliseconds suspicion_base{2500};         ///< Constant part of the suspicion timeout.
    std::chrono::milliseconds suspicion_per_bit{500};       ///< Added for each doubling of the fleet.
    std::chrono::seconds dead_retention{3 * 3600}; ///< How long records of dead and left members stay.
    std::chrono::seconds dead_probe_interval{5};   ///< Between probes of a random dead member.
    std::chrono::seconds digest_patience{10}; ///< Digests may differ this long before tables are compared.
    std::chrono::seconds digest_patience_crowded{30}; ///< Replaces digest_patience while crowded.
    std::chrono::seconds rumor_retention{600};        ///< How long rumors are kept for joining members.
    std::chrono::milliseconds join_retry_min{500};    ///< Between attempts to join, with jitter.
    std::chrono::milliseconds join_retry_max{5000};
    std::size_t indirect_probes = 3;
    std::size_t gossip_fanout = 2;
    std::size_t push_fanout = 8;  ///< Random peers to which a raised revision or a rumor is sent at once.
    std::size_t self_fanout = 32; ///< Peers per gossip interval that are sent the own changed record.
    std::size_t max_self_receivers = 256; ///< Peers sent the own record in all; gossip reaches the rest.
    std::size_t spread_fanout = 48; ///< Peers sent a rumor at once: `push_fanout`, the rest of its service.
    unsigned sends_per_bit = 3;     ///< Times each update is sent per doubling of the fleet.
    unsigned sends_per_bit_crowded = 1;  ///< Replaces sends_per_bit while the send queue is crowded.
    std::size_t crowding_threshold = 16; ///< Waiting updates above which the send queue is crowded.
    std::size_t bytes_per_second = 700;  ///< Refill rate of the byte allowance for gossip.
    std::size_t burst_bytes = 20 * 1024; ///< Largest allowance.
    std::size_t debt_bytes = 64 * 1024;  ///< The allowance never falls below minus this.
    std::size_t rumors = 1024;           ///< Most rumors kept; a further one replaces the oldest.
};

/// Record of another member and how often it has been gossiped.
struct tracked_member {
    member value;
    core::steady_time since; ///< When the member got its current status.
    unsigned sends_left = 0; ///< How often this daemon still has to send the record.
    unsigned sent = 0;       ///< Copies sent or received; starts higher for expected updates.
    std::uint64_t turn = 0;  ///< Random; orders updates that were sent equally often.
};

/// Position of a member record in the send queue. Records sent least often come first; ties are in random
/// order, which differs between daemons, so that many daemons don't all send the same records at once.
struct unsent_update {
    unsigned sent = 0;
    std::uint64_t turn = 0;
    std::string address;

    bool operator<(const unsent_update& other) const {
        return std::tie(sent, turn, address) < std::tie(other.sent, other.turn, other.address);
    }
};

/// A rumor that this daemon has received or spread and passes on.
struct tracked_rumor {
    rumor value;
    core::steady_time received_at;
    unsigned sends_left = 0;
};

/// The outstanding probe, whose ack is awaited.
struct awaited_ack {
    core::endpoint_id target;
    std::uint64_t sequence = 0;
    core::steady_time sent;
    bool indirect = false; ///< Other members have been asked to probe the target.
};

/// A probe sent on behalf of another member.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::uint64_t requester_sequence = 0;
    std::string requester; ///< Membership address of the member that asked for the probe.
    core::steady_time sent;
};

/// State of joining: the member table is fetched from one peer, page by page.
struct join_state {
    std::vector<std::string> seeds; ///< Membership addresses of peers to join through.
    std::string cursor;             ///< Last transport address in the pages received so far.
    core::steady_time retry_at;
    std::chrono::milliseconds backoff{0};
    bool joined = false;
};

/// Protocol state of one daemon.
struct swim_state {
    swim_limits limits;
    member self;
    unsigned self_sends_left = 0;
    std::vector<std::string> self_receivers;       ///< Membership addresses yet to be sent the own record.
    std::map<std::string, tracked_member> members; ///< Other members, by transport address.
    std::uint64_t members_digest = 0;              ///< Digest of the alive and suspected `members`.
    std::set<std::string> suspects;                ///< Transport addresses of suspected members.
    std::set<unsent_update> unsent;                ///< Send queue: the members with sends_left > 0.
    std::vector<std::string> probe_order;
    std::size_t next_probe = 0;
    std::optional<awaited_ack> awaited;
    std::vector<relayed_probe> relayed;
    join_state join;
    std::vector<tracked_rumor> rumors;
    std::uint64_t revision = 0; ///< This daemon's configuration revision.
    unsigned revision_sends_left = 0;
    std::uint64_t highest_peer_revision = 0;
    std::uint64_t sequence = 0;
    core::steady_time last_tick;
    core::steady_time next_probe_at;
    core::steady_time next_gossip_at;
    core::steady_time next_self_send_at; ///< When the own record is next sent to `self_receivers`.
    core::steady_time next_dead_probe_at;
    core::steady_time next_suspicion_at; ///< No suspicion times out before this.
    core::steady_time next_expiry_at;
    std::optional<core::steady_time> digest_differs_since;
    double gossip_allowance = 0; ///< Bytes that may be gossiped; negative after messages that could not wait.
    std::mt19937_64 random;

    std::vector<member> changed;         ///< Members changed since take_changes().
    std::vector<std::string> expired;    ///< Transport addresses removed since take_changes().
    std::vector<rumor> new_rumors;       ///< New rumors since take_changes().
    std::optional<member> superseded_by; ///< A later incarnation that has this daemon's address.
};

/// Changes since the previous call of take_changes().
struct swim_changes {
    std::vector<member> changed;
    std::vector<std::string> expired; ///< Transport addresses of expired members.
    std::vector<rumor> new_rumors;
};

/// Creates the state of a daemon that joins through `seeds`; with an empty list it waits for add_seeds().
[[nodiscard]] swim_state make_swim(member self, swim_limits limits, const std::vector<std::string>& seeds,
                                   std::uint64_t random_seed, core::steady_time now);

/// Adds membership addresses of peers to join through.
void add_seeds(swim_state& state, const std::vector<std::string>& seeds);

/// Requests the member tables of listed peers that the own table lacks, at most 8 per call. Daemons that
/// start simultaneously may join through different peers and form separate groups; the platform's list of
/// peers connects the groups.
[[nodiscard]] std::vector<outgoing_message> contact_unknown(swim_state& state,
                                                            const std::vector<std::string>& peers);

/// Performs the work due by `now`: probes, timeouts, expired suspicions, gossip, joining.
[[nodiscard]] std::vector<outgoing_message> tick(swim_state& state, core::steady_time now);

/// Processes one message received from the membership address `from`.
[[nodiscard]] std::vector<outgoing_message> receive(swim_state& state, const std::string& from,
                                                    const swim_message& message, core::steady_time now);

/// Changes this daemon's own record and sends it to several peers at once; does nothing if it's unchanged.
[[nodiscard]] std::vector<outgoing_message> announce_self(swim_state& state, const std::string& service,
                                                          bool draining, member_status status);

/// Records this daemon's configuration revision; a raised one is sent to several peers at once.
[[nodiscard]] std::vector<outgoing_message> set_revision(swim_state& state, std::uint64_t revision);

/// Spreads a rumor from this daemon; members of its service, up to spread_fanout, are sent it at once.
[[nodiscard]] std::vector<outgoing_message> spread(swim_state& state, const rumor& rumor_to_spread,
                                                   core::steady_time now);

/// Returns and clears the changes collected so far.
[[nodiscard]] swim_changes take_changes(swim_state& state);

/// Time after which a suspected member is declared dead, given the number of known members.
[[nodiscard]] std::chrono::milliseconds suspicion_timeout(const swim_state& state);

/// Digest of the alive and suspected members, this daemon included; equal on daemons with equal tables.
[[nodiscard]] std::uint64_t table_digest(const swim_state& state);

} // namespace monsoonlift::membership
