#include "membership/swim.h"

#include "membership/internal/swim_gossip.h"
#include "membership/internal/swim_probing.h"
#include "membership/internal/swim_table_exchange.h"
#include "membership/swim_table.h"

#include <algorithm>
#include <bit>
#include <iterator>
#include <set>

namespace monsoonlift::membership {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds expiry_interval{10};

/// True if the message comes from another process with this daemon's address; an earlier incarnation is sent
/// this daemon's record, so that it stops.
bool is_from_own_address(swim_state& state, const std::string& from, const swim_message& message,
                         std::vector<outgoing_message>& out) {
    if (message.sender.address != state.self.id.address) {
        return false;
    }
    if (message.sender.life < state.self.id.life) {
        swim_message answer = make_message(state, message_kind::gossip);
        answer.records.push_back(state.self);
        out.push_back({from, answer});
    }
    return true;
}

void merge_lists(swim_state& state, const swim_message& message, core::steady_time now) {
    for (const member& record : message.records) {
        merge(state, record, now);
    }
    for (const rumor& record : message.rumors) {
        merge(state, record, now);
    }
}

void dispatch(swim_state& state, const std::string& from, const swim_message& message, core::steady_time now,
              std::vector<outgoing_message>& out) {
    switch (message.kind) {
    case message_kind::probe:
        internal::answer_probe(state, from, message, out);
        internal::compare_digest(state, from, message, now, out);
        break;
    case message_kind::ack:
        internal::handle_ack(state, message, out);
        internal::compare_digest(state, from, message, now, out);
        break;
    case message_kind::probe_request:
        internal::probe_on_request(state, from, message, now, out);
        break;
    case message_kind::gossip:
        break;
    case message_kind::table_request:
        internal::answer_table_request(state, from, message, out);
        break;
    case message_kind::table_page:
        internal::handle_page(state, from, message, now, out);
        break;
    case message_kind::digest_request:
        internal::answer_digest_request(state, from, out);
        break;
    case message_kind::digest_answer:
        internal::handle_bucket_digests(state, from, message, out);
        break;
    }
}

} // namespace

swim_state make_swim(member self, swim_limits limits, const std::vector<std::string>& seeds,
                     std::uint64_t random_seed, core::steady_time now) {
    swim_state state;
    state.limits = limits;
    state.self = std::move(self);
    state.random.seed(random_seed);
    state.last_tick = now;
    state.next_gossip_at = now;
    state.next_dead_probe_at = now;
    state.next_expiry_at = now;
    state.join.retry_at = now;
    state.gossip_allowance = static_cast<double>(limits.burst_bytes);
    std::uniform_int_distribution<std::int64_t> offset(0, limits.probe_interval.count() - 1);
    state.next_probe_at = now + milliseconds(offset(state.random));
    add_seeds(state, seeds);
    return state;
}

void add_seeds(swim_state& state, const std::vector<std::string>& seeds) {
    for (const std::string& seed : seeds) {
        const bool known =
            std::find(state.join.seeds.begin(), state.join.seeds.end(), seed) != state.join.seeds.end();
        if (!known && seed != state.self.membership_address) {
            state.join.seeds.push_back(seed);
        }
    }
}

std::vector<outgoing_message> contact_unknown(swim_state& state, const std::vector<std::string>& peers) {
    constexpr std::size_t most_contacts = 8;
    std::set<std::string> known{state.self.membership_address};
    for (const auto& [address, tracked] : state.members) {
        known.insert(tracked.value.membership_address);
    }
    std::vector<std::string> unknown;
    std::copy_if(peers.begin(), peers.end(), std::back_inserter(unknown),
                 [&](const std::string& peer) { return !known.contains(peer); });
    std::shuffle(unknown.begin(), unknown.end(), state.random);
    unknown.resize(std::min(unknown.size(), most_contacts));
    std::vector<outgoing_message> out;
    for (const std::string& peer : unknown) {
        out.push_back(internal::make_page_request(state, peer, 0, {}));
    }
    return out;
}

std::vector<outgoing_message> tick(swim_state& state, core::steady_time now) {
    std::vector<outgoing_message> out;
    internal::refill_allowance(state, now - state.last_tick);
    internal::reset_timers_after_stall(state, now);
    internal::join(state, now, out);
    internal::check_awaited_ack(state, now, out);
    internal::check_suspicions(state, now);
    internal::probe_next(state, now, out);
    internal::probe_random_dead_member(state, now, out);
    internal::continue_sending_self(state, now, out);
    internal::gossip(state, now, out);
    if (now >= state.next_expiry_at) {
        state.next_expiry_at = now + expiry_interval;
        expire(state, now);
    }
    return out;
}

std::vector<outgoing_message> receive(swim_state& state, const std::string& from, const swim_message& message,
                                      core::steady_time now) {
    std::vector<outgoing_message> out;
    merge_lists(state, message, now);
    state.highest_peer_revision = std::max(state.highest_peer_revision, message.revision);
    if (is_from_own_address(state, from, message, out)) {
        return out;
    }
    dispatch(state, from, message, now, out);
    return out;
}

std::vector<outgoing_message> announce_self(swim_state& state, const std::string& service, bool draining,
                                            member_status status) {
    if (state.self.service == service && state.self.draining == draining && state.self.status == status) {
        return {};
    }
    state.self.service = service;
    state.self.draining = draining;
    state.self.status = status;
    ++state.self.update_number;
    state.self_sends_left = sends_for(state);
    return internal::begin_sending_self(state);
}

std::vector<outgoing_message> set_revision(swim_state& state, std::uint64_t revision) {
    if (revision <= state.revision) {
        return {};
    }
    state.revision = revision;
    state.revision_sends_left = sends_for(state);
    return internal::push(state);
}

std::vector<outgoing_message> spread(swim_state& state, const rumor& rumor_to_spread, core::steady_time now) {
    merge(state, rumor_to_spread, now);
    std::vector<outgoing_message> out = internal::push(state);
    // NOTE: a crash report must reach the other gates of the service before the request is retried.
    for (const auto& [address, tracked] : state.members) {
        const bool is_same_service = is_present(tracked.value) && tracked.value.service == state.self.service;
        if (!is_same_service || state.self.service.empty() || out.size() >= state.limits.spread_fanout) {
            continue;
        }
        swim_message message = make_message(state, message_kind::gossip);
        message.rumors.push_back(rumor_to_spread);
        out.push_back({tracked.value.membership_address, message});
    }
    return out;
}

swim_changes take_changes(swim_state& state) {
    swim_changes taken{std::move(state.changed), std::move(state.expired), std::move(state.new_rumors)};
    state.changed.clear();
    state.expired.clear();
    state.new_rumors.clear();
    return taken;
}

milliseconds suspicion_timeout(const swim_state& state) {
    const auto bits = static_cast<int>(std::bit_width(state.members.size() + 1));
    return state.limits.suspicion_base + state.limits.suspicion_per_bit * bits;
}

} // namespace monsoonlift::membership
