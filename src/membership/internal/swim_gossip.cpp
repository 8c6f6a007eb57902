#include "membership/internal/swim_gossip.h"

#include "membership/message_codec.h"
#include "membership/swim_table.h"

#include <algorithm>

namespace monsoonlift::membership::internal {

namespace {

void gossip_to(swim_state& state, const std::vector<member>& receivers, std::vector<outgoing_message>& out) {
    for (const member& receiver : receivers) {
        swim_message gossip = make_message(state, message_kind::gossip);
        add_updates(state, gossip);
        spend_allowance(state, message_overhead_bytes);
        out.push_back({receiver.membership_address, gossip});
    }
}

void send_self_to_some(swim_state& state, std::vector<outgoing_message>& out) {
    for (std::size_t sent = 0; sent < state.limits.self_fanout && !state.self_receivers.empty(); ++sent) {
        swim_message message = make_message(state, message_kind::gossip);
        message.records.push_back(state.self);
        spend_allowance(state, message_overhead_bytes + encoded_bytes(state.self));
        out.push_back({state.self_receivers.back(), message});
        state.self_receivers.pop_back();
    }
}

} // namespace

void refill_allowance(swim_state& state, std::chrono::nanoseconds elapsed) {
    const double seconds = std::chrono::duration<double>(elapsed).count();
    const double refilled =
        state.gossip_allowance + seconds * static_cast<double>(state.limits.bytes_per_second);
    state.gossip_allowance = std::min(refilled, static_cast<double>(state.limits.burst_bytes));
}

void gossip(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (now < state.next_gossip_at) {
        return;
    }
    const bool is_crowded = state.unsent.size() > state.limits.crowding_threshold;
    const auto interval = is_crowded ? state.limits.gossip_interval_crowded : state.limits.gossip_interval;
    state.next_gossip_at = now + interval;
    if (!has_updates(state) || state.gossip_allowance <= 0) {
        return;
    }
    // NOTE: while many updates wait, sending the same ones to several members would use up the allowance that
    // the other updates need.
    const std::size_t receivers = is_crowded ? 1 : state.limits.gossip_fanout;
    gossip_to(state, sample(state, receivers, {}), out);
}

std::vector<outgoing_message> begin_sending_self(swim_state& state) {
    state.self_receivers.clear();
    for (const auto& [address, tracked] : state.members) {
        if (is_present(tracked.value)) {
            state.self_receivers.push_back(tracked.value.membership_address);
        }
    }
    std::shuffle(state.self_receivers.begin(), state.self_receivers.end(), state.random);
    state.self_receivers.resize(std::min(state.self_receivers.size(), state.limits.max_self_receivers));
    std::vector<outgoing_message> out;
    send_self_to_some(state, out);
    return out;
}

void continue_sending_self(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (state.self_receivers.empty() || now < state.next_self_send_at) {
        return;
    }
    state.next_self_send_at = now + state.limits.gossip_interval;
    send_self_to_some(state, out);
}

std::vector<outgoing_message> push(swim_state& state) {
    std::vector<outgoing_message> out;
    gossip_to(state, sample(state, state.limits.push_fanout, {}), out);
    return out;
}

} // namespace monsoonlift::membership::internal
