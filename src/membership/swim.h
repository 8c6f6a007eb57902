/// Rules of membership: failure detection by probes, indirect probes and suspicion, and dissemination by
/// gossip (SWIM). Free functions over a plain struct; time and random numbers are given, messages are
/// returned.
///
/// Each member probes one other a second in a shuffled order. Without an answer it asks a few members to
/// probe for it; without an answer to those it spreads a suspicion, which the suspect refutes by raising its
/// `news`. A suspicion that stands too long is spread as death. A member alone raises its own `news`, so of
/// two beliefs the later one is known everywhere (see supersedes()). Dead records stay for a while, so that
/// old gossip can't revive them and members on the two sides of a cut link find each other again.
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
    std::chrono::milliseconds gossip_interval{200}; ///< Between extra gossip messages while there is news.
    std::chrono::milliseconds gossip_interval_crowded{500};
    std::chrono::milliseconds suspicion_base{2500};   ///< Suspicion lasts this,
    std::chrono::milliseconds suspicion_per_bit{500}; ///< and this for each doubling of the fleet.
    std::chrono::seconds dead_retention{3 * 3600};    ///< How long records of the dead and left stay.
    std::chrono::seconds dead_probe_interval{5};      ///< Between probes of some member taken to be dead.
    std::chrono::seconds digest_patience{10}; ///< Digests may differ this long before tables are compared,
    std::chrono::seconds digest_patience_crowded{30}; ///< or this long while more than `few_news` wait.
    std::chrono::seconds rumor_retention{600};        ///< How long rumors are kept for joining members.
    std::chrono::milliseconds join_retry_min{500};    ///< Between attempts to join, with jitter.
    std::chrono::milliseconds join_retry_max{5000};
    std::size_t indirect_probes = 3;
    std::size_t gossip_fanout = 2;
    std::size_t push_fanout = 8; ///< Peers told at once of a raised revision or a rumor.
    std::size_t own_fanout =
        32; ///< Peers told in each gossip interval of a change of this daemon's own record,
    std::size_t most_told = 256; ///< and in all; in larger fleets they pass it on.
    std::size_t spread_fanout =
        48;                     ///< Peers told at once of a rumor, first of all those of the same service.
    unsigned sends_per_bit = 3; ///< News is sent this often for each doubling of the fleet,
    unsigned sends_per_bit_crowded = 1; ///< or this often while more than `few_news` wait.
    std::size_t few_news = 16;
    std::size_t bytes_per_second = 700; ///< Refill of the allowance for news.
    std::size_t burst_bytes = 20 * 1024;
    std::size_t debt_bytes = 64 * 1024; ///< The allowance falls no deeper below zero.
    std::size_t rumors = 1024;          ///< Rumors kept; at the bound the oldest goes.
};

/// What is kept of another member.
struct tracked_member {
    member value;
    core::steady_time since; ///< When it got its status.
    unsigned sends_left = 0; ///< How often this belief is still to be sent.
    unsigned sent = 0;       ///< How often it has been sent by this daemon or come from others.
    std::uint64_t turn = 0;  ///< Random; its place among news sent as often.
};

/// A belief that is still to be sent. What was sent least often comes first, in an order that differs from
/// daemon to daemon, so that many at once don't all tell the same.
struct unsent_news {
    unsigned sent = 0;
    std::uint64_t turn = 0;
    std::string address;

    bool operator<(const unsent_news& other) const {
        return std::tie(sent, turn, address) < std::tie(other.sent, other.turn, other.address);
    }
};

/// A rumor that is passed on.
struct tracked_rumor {
    rumor value;
    core::steady_time heard;
    unsigned sends_left = 0;
};

/// The probe whose answer is awaited.
struct awaited_ack {
    core::endpoint_id target;
    std::uint64_t sequence = 0;
    core::steady_time sent;
    bool indirect = false; ///< Others have been asked to probe as well.
};

/// A probe sent on behalf of another member.
struct relayed_probe {
    std::uint64_t sequence = 0;
    std::uint64_t asked_sequence = 0;
    std::string asked_by; ///< Membership address.
    core::steady_time sent;
};

/// Joining: pages of the table are fetched from one peer.
struct join_state {
    std::vector<std::string> seeds; ///< Membership addresses.
    std::string cursor;             ///< Last address of the pages received so far.
    core::steady_time retry_at;
    std::chrono::milliseconds backoff{0};
    bool joined = false;
};

/// All that one daemon knows.
struct swim_state {
    swim_limits limits;
    member self;
    unsigned self_sends_left = 0;
    std::vector<std::string> untold; ///< Membership addresses still to be told of this daemon's own record.
    std::map<std::string, tracked_member> members; ///< Others, by transport address.
    std::uint64_t members_digest = 0;              ///< Of the members present, without this daemon.
    std::set<std::string> suspects;                ///< Addresses of the suspected.
    std::set<unsent_news> unsent;                  ///< Of the members with sends left.
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
    core::steady_time next_telling_at; ///< Of `untold`.
    core::steady_time next_dead_probe_at;
    core::steady_time next_suspicion_at; ///< No suspicion runs out before.
    core::steady_time next_expiry_at;
    std::optional<core::steady_time> digest_differs_since;
    double gossip_allowance = 0; ///< Bytes of news; below zero after news that could not wait.
    std::mt19937_64 random;

    std::vector<member> changed;         ///< Since take_changes().
    std::vector<std::string> forgotten;  ///< Since take_changes(); transport addresses.
    std::vector<rumor> heard;            ///< Since take_changes().
    std::optional<member> superseded_by; ///< A later life of this daemon's own address.
};

/// What happened since the last call of take_changes().
struct swim_changes {
    std::vector<member> changed;
    std::vector<std::string> forgotten;
    std::vector<rumor> heard;
};

/// State of a daemon that is about to join by `seeds`; an empty list waits for add_seeds().
[[nodiscard]] swim_state make_swim(member self, swim_limits limits, const std::vector<std::string>& seeds,
                                   std::uint64_t random_seed, core::steady_time now);

/// Adds peers to join by.
void add_seeds(swim_state& state, const std::vector<std::string>& seeds);

/// Asks peers that the table lacks for theirs, a few at a time. Daemons that start at once may each join by
/// another and form separate groups; the platform's list is what they have in common.
[[nodiscard]] std::vector<outgoing_message> contact_unknown(swim_state& state,
                                                            const std::vector<std::string>& peers);

/// Does what is due by now: probes, timeouts, suspicions that ran out, gossip, joining.
[[nodiscard]] std::vector<outgoing_message> tick(swim_state& state, core::steady_time now);

/// Takes in one message that came from the membership address `from`.
[[nodiscard]] std::vector<outgoing_message> receive(swim_state& state, const std::string& from,
                                                    const swim_message& message, core::steady_time now);

/// Changes this daemon's own record and tells several peers at once.
[[nodiscard]] std::vector<outgoing_message> announce_self(swim_state& state, const std::string& service,
                                                          bool draining, member_status status);

/// Takes note of this daemon's configuration revision; a raised one is told to several peers at once.
[[nodiscard]] std::vector<outgoing_message> set_revision(swim_state& state, std::uint64_t revision);

/// Spreads a rumor from this daemon; the members of its service hear it at once.
[[nodiscard]] std::vector<outgoing_message> spread(swim_state& state, const rumor& told,
                                                   core::steady_time now);

/// Hands over the changes gathered so far.
[[nodiscard]] swim_changes take_changes(swim_state& state);

/// How long a suspicion lasts in a fleet of this state's size.
[[nodiscard]] std::chrono::milliseconds suspicion_timeout(const swim_state& state);

/// Digest of the members present, the same on every daemon that believes the same.
[[nodiscard]] std::uint64_t table_digest(const swim_state& state);

} // namespace monsoonlift::membership
