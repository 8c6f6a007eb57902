#include "membership/swim_table.h"

#include "membership/message_codec.h"

#include <algorithm>
#include <bit>

#include <xxhash.h>

namespace monsoonlift::membership {

namespace {

constexpr std::size_t digest_buckets = 32;

std::uint64_t digest_of(const member& value) {
    const std::uint64_t life =
        XXH3_64bits_withSeed(&value.id.life.value, sizeof(value.id.life.value), value.update_number);
    return XXH3_64bits_withSeed(value.id.address.data(), value.id.address.size(), life);
}

std::uint64_t digest_if_present(const member& value) {
    return is_present(value) ? digest_of(value) : 0;
}

std::size_t bucket_of(const std::string& address) {
    return XXH3_64bits(address.data(), address.size()) % digest_buckets;
}

void merge_self(swim_state& state, const member& record) {
    if (record.id.life > state.self.id.life) {
        // NOTE: a suspect's record may come without the name that tells whose it is; others will follow.
        if (!record.name.empty() || !is_present(record)) {
            state.superseded_by = record;
        }
        return;
    }
    const bool about_this_incarnation = record.id.life == state.self.id.life;
    const bool is_wrong =
        record.status != state.self.status || record.update_number > state.self.update_number;
    if (about_this_incarnation && is_wrong && supersedes(record, state.self)) {
        state.self.update_number = record.update_number + 1;
    }
    if (is_wrong || !about_this_incarnation) {
        state.self_sends_left = sends_for(state);
    }
}

unsigned bits_of(const swim_state& state) {
    return static_cast<unsigned>(std::bit_width(state.members.size() + 1));
}

unsigned min_sends(const swim_state& state) {
    return state.limits.sends_per_bit_crowded * bits_of(state);
}

unsigned sends_for_update(const swim_state& state) {
    return state.unsent.size() > state.limits.crowding_threshold ? min_sends(state) : sends_for(state);
}

/// True for a change that other members detect by themselves (a suspicion that times out), or that leaves
/// identity, status, draining and service unchanged.
bool is_expected(const member& before, const member& after) {
    if (before.id != after.id) {
        return false;
    }
    if (before.status == member_status::suspect && after.status == member_status::dead) {
        return true;
    }
    return before.status == after.status && before.draining == after.draining &&
           before.service == after.service;
}

void stop_sending(swim_state& state, tracked_member& tracked) {
    state.unsent.erase({tracked.sent, tracked.turn, tracked.value.id.address});
    tracked.sends_left = 0;
}

/// Queues a record to be sent; expected changes are queued behind unexpected ones.
void begin_sending(swim_state& state, tracked_member& tracked, bool expected) {
    tracked.sends_left = expected ? min_sends(state) : sends_for_update(state);
    tracked.sent = expected ? min_sends(state) : 0;
    tracked.turn = state.random();
    state.unsent.insert({tracked.sent, tracked.turn, tracked.value.id.address});
}

/// Counts one more copy of the record, sent by this daemon or received from another.
void count_sent(swim_state& state, tracked_member& tracked) {
    if (tracked.sends_left == 0) {
        return;
    }
    const unsigned remaining = tracked.sends_left - 1;
    stop_sending(state, tracked);
    ++tracked.sent;
    if (remaining > 0) {
        tracked.sends_left = remaining;
        state.unsent.insert({tracked.sent, tracked.turn, tracked.value.id.address});
    }
}

/// Returns a suspect or dead member's record without the fields that receivers already have, other records
/// unchanged. Many members may fail at once, and all others must learn of it soon, so these records are
/// small.
member compact_record(const member& value) {
    if (value.status != member_status::suspect && value.status != member_status::dead) {
        return value;
    }
    member compact;
    compact.id = value.id;
    compact.membership_address = value.id.address;
    compact.status = value.status;
    compact.update_number = value.update_number;
    return compact;
}

bool is_compact(const member& record) {
    return record.name.empty() && record.data_centre.empty() && record.admin_address.empty() &&
           record.membership_address == record.id.address;
}

/// Fills in a compact record from the known one; returns nothing if it's of an unknown incarnation. Returns
/// other records unchanged.
std::optional<member> expand_record(const member& record, const tracked_member* known) {
    if (!is_compact(record)) {
        return record;
    }
    if (known == nullptr || known->value.id != record.id) {
        return std::nullopt;
    }
    member full_record = known->value;
    full_record.status = record.status;
    full_record.update_number = record.update_number;
    return full_record;
}

void take_rumors(swim_state& state, std::vector<rumor>& target, std::size_t& room) {
    std::vector<tracked_rumor*> unsent;
    for (tracked_rumor& tracked : state.rumors) {
        if (tracked.sends_left > 0) {
            unsent.push_back(&tracked);
        }
    }
    std::stable_sort(unsent.begin(), unsent.end(), [](const tracked_rumor* left, const tracked_rumor* right) {
        return left->sends_left > right->sends_left;
    });
    for (tracked_rumor* tracked : unsent) {
        const std::size_t bytes = encoded_bytes(tracked->value);
        if (bytes > room) {
            break;
        }
        room -= bytes;
        --tracked->sends_left;
        target.push_back(tracked->value);
    }
}

void take_member_updates(swim_state& state, std::vector<member>& target, std::size_t& room) {
    std::vector<tracked_member*> taken;
    for (const unsent_update& next : state.unsent) {
        tracked_member& tracked = state.members.at(next.address);
        const member record = compact_record(tracked.value);
        const std::size_t bytes = encoded_bytes(record);
        if (bytes > room) {
            break;
        }
        room -= bytes;
        target.push_back(record);
        taken.push_back(&tracked);
    }
    for (tracked_member* tracked : taken) {
        count_sent(state, *tracked);
    }
}

void replace(swim_state& state, tracked_member* known, const member& record, core::steady_time now) {
    core::steady_time since = now;
    bool expected = false;
    if (known != nullptr) {
        const member& before = known->value;
        expected = is_expected(before, record);
        since = record.status == before.status && record.id.life == before.id.life ? known->since : now;
        state.members_digest ^= digest_if_present(before);
        stop_sending(state, *known);
    }
    state.members_digest ^= digest_if_present(record);
    tracked_member& tracked = state.members[record.id.address];
    tracked.value = record;
    tracked.since = since;
    begin_sending(state, tracked, expected);
    state.suspects.erase(record.id.address);
    if (record.status == member_status::suspect) {
        state.suspects.insert(record.id.address);
        state.next_suspicion_at = std::min(state.next_suspicion_at, since + suspicion_timeout(state));
    }
    state.changed.push_back(record);
}

} // namespace

unsigned sends_for(const swim_state& state) {
    return state.limits.sends_per_bit * bits_of(state);
}

void merge(swim_state& state, const member& record, core::steady_time now) {
    if (record.id.address == state.self.id.address) {
        merge_self(state, record);
        return;
    }
    const auto found = state.members.find(record.id.address);
    tracked_member* known = found == state.members.end() ? nullptr : &found->second;
    const bool is_newer = known == nullptr ? is_present(record) : supersedes(record, known->value);
    if (is_newer) {
        if (const std::optional<member> full_record = expand_record(record, known)) {
            replace(state, known, *full_record, now);
        }
    } else if (known != nullptr && !supersedes(known->value, record)) {
        count_sent(state, *known);
    }
}

void merge(swim_state& state, const rumor& record, core::steady_time now) {
    const auto known = std::find_if(state.rumors.begin(), state.rumors.end(),
                                    [&](const tracked_rumor& tracked) { return tracked.value == record; });
    if (known != state.rumors.end() || record.payload.size() > max_rumor_bytes) {
        return;
    }
    if (state.rumors.size() >= state.limits.rumors) {
        state.rumors.erase(state.rumors.begin());
    }
    state.rumors.push_back({record, now, sends_for(state)});
    state.new_rumors.push_back(record);
}

std::vector<member> sample(swim_state& state, std::size_t count, const std::string& excluded) {
    std::vector<const member*> alive;
    std::vector<const member*> suspects;
    for (const auto& [address, tracked] : state.members) {
        if (is_present(tracked.value) && address != excluded) {
            (tracked.value.status == member_status::alive ? alive : suspects).push_back(&tracked.value);
        }
    }
    std::vector<const member*> chosen;
    const auto& likely = alive.size() < count ? suspects : alive;
    std::sample(likely.begin(), likely.end(), std::back_inserter(chosen), count, state.random);
    std::shuffle(chosen.begin(), chosen.end(), state.random);
    std::vector<member> copies;
    copies.reserve(chosen.size());
    for (const member* one : chosen) {
        copies.push_back(*one);
    }
    return copies;
}

swim_message make_message(swim_state& state, message_kind kind) {
    swim_message message;
    message.kind = kind;
    message.sequence = ++state.sequence;
    message.sender = state.self.id;
    message.sender_membership_address = state.self.membership_address;
    message.sender_admin_address = state.self.admin_address;
    message.sender_update_number = state.self.update_number;
    message.revision = state.revision;
    message.digest = table_digest(state);
    return message;
}

void spend_allowance(swim_state& state, std::size_t bytes) {
    const auto deepest = -static_cast<double>(state.limits.debt_bytes);
    state.gossip_allowance = std::max(state.gossip_allowance - static_cast<double>(bytes), deepest);
}

void add_updates(swim_state& state, swim_message& message) {
    std::size_t room = max_datagram_bytes - message_overhead_bytes;
    for (const member& record : message.records) {
        room -= std::min(room, encoded_bytes(record));
    }
    room = std::min(room, static_cast<std::size_t>(std::max(state.gossip_allowance, 0.0)));
    const std::size_t room_before = room;
    const std::size_t own_bytes = encoded_bytes(state.self);
    if (state.self_sends_left > 0 && own_bytes <= room) {
        --state.self_sends_left;
        room -= own_bytes;
        message.records.push_back(state.self);
    }
    take_rumors(state, message.rumors, room);
    take_member_updates(state, message.records, room);
    spend_allowance(state, room_before - room);
    if (state.revision_sends_left > 0) {
        --state.revision_sends_left;
    }
}

bool has_updates(const swim_state& state) {
    return state.self_sends_left > 0 || state.revision_sends_left > 0 || !state.unsent.empty() ||
           std::any_of(state.rumors.begin(), state.rumors.end(),
                       [](const tracked_rumor& tracked) { return tracked.sends_left > 0; });
}

void expire(swim_state& state, core::steady_time now) {
    std::erase_if(state.rumors, [&](const tracked_rumor& tracked) {
        return now - tracked.received_at > state.limits.rumor_retention;
    });
    std::erase_if(state.relayed, [&](const relayed_probe& tracked) {
        return now - tracked.sent > state.limits.probe_interval;
    });
    for (auto entry = state.members.begin(); entry != state.members.end();) {
        const tracked_member& tracked = entry->second;
        if (is_present(tracked.value) || now - tracked.since <= state.limits.dead_retention) {
            ++entry;
            continue;
        }
        state.expired.push_back(entry->first);
        stop_sending(state, entry->second);
        entry = state.members.erase(entry);
    }
}

std::uint64_t table_digest(const swim_state& state) {
    return state.members_digest ^ digest_of(state.self);
}

std::vector<std::uint32_t> bucket_digests(const swim_state& state) {
    std::vector<std::uint32_t> digests(digest_buckets, 0);
    digests[bucket_of(state.self.id.address)] ^= static_cast<std::uint32_t>(digest_of(state.self));
    for (const auto& [address, tracked] : state.members) {
        digests[bucket_of(address)] ^= static_cast<std::uint32_t>(digest_if_present(tracked.value));
    }
    return digests;
}

swim_message make_page(swim_state& state, const swim_message& request) {
    swim_message page = make_message(state, message_kind::table_page);
    page.sequence = request.sequence;
    page.bucket = request.bucket;
    page.cursor = request.cursor;
    std::size_t room = max_datagram_bytes - message_overhead_bytes;
    const auto is_requested = [&](const std::string& address) {
        return request.bucket == 0 || bucket_of(address) + 1 == request.bucket;
    };
    if (request.cursor.empty() && is_requested(state.self.id.address)) {
        page.records.push_back(state.self);
        room -= encoded_bytes(state.self);
    }
    for (auto entry = state.members.upper_bound(request.cursor); entry != state.members.end(); ++entry) {
        if (!is_requested(entry->first)) {
            continue;
        }
        const std::size_t bytes = encoded_bytes(entry->second.value);
        if (bytes > room) {
            return page;
        }
        room -= bytes;
        page.records.push_back(entry->second.value);
        page.cursor = entry->first;
    }
    page.complete = true;
    return page;
}

std::vector<outgoing_message> make_rumor_messages(swim_state& state, const std::string& receiver) {
    constexpr std::size_t full = max_datagram_bytes - message_overhead_bytes;
    std::vector<outgoing_message> messages;
    std::size_t room = 0;
    for (const tracked_rumor& tracked : state.rumors) {
        const std::size_t bytes = encoded_bytes(tracked.value);
        if (bytes > room) {
            messages.push_back({receiver, make_message(state, message_kind::gossip)});
            room = full;
        }
        room -= bytes;
        messages.back().message.rumors.push_back(tracked.value);
    }
    return messages;
}

} // namespace monsoonlift::membership
