#include "membership/internal/swim_gossip.h"

#include "membership/message_codec.h"
#include "membership/swim_table.h"

#include <algorithm>

namespace monsoonlift::membership::internal {

namespace {

void gossip_to(swim_state& state, const std::vector<member>& receivers, std::vector<outgoing_message>& out) {
    for (const member& receiver : receivers) {
        swim_message gossip = make_message(state, message_kind::gossip);
        add_news(state, gossip);
        spend_allowance(state, message_overhead_bytes);
        out.push_back({receiver.membership_address, gossip});
    }
}

void tell_some(swim_state& state, std::vector<outgoing_message>& out) {
    for (std::size_t told = 0; told < state.limits.own_fanout && !state.untold.empty(); ++told) {
        swim_message message = make_message(state, message_kind::gossip);
        message.news.push_back(state.self);
        spend_allowance(state, message_overhead_bytes + encoded_bytes(state.self));
        out.push_back({state.untold.back(), message});
        state.untold.pop_back();
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
    const bool is_crowded = state.unsent.size() > state.limits.few_news;
    const auto interval = is_crowded ? state.limits.gossip_interval_crowded : state.limits.gossip_interval;
    state.next_gossip_at = now + interval;
    if (!has_news(state) || state.gossip_allowance <= 0) {
        return;
    }
    // NOTE: while many updates wait, sending the same ones to several members would use up the allowance that
    // the other updates need.
    const std::size_t receivers = is_crowded ? 1 : state.limits.gossip_fanout;
    gossip_to(state, sample(state, receivers, {}), out);
}

std::vector<outgoing_message> begin_telling(swim_state& state) {
    state.untold.clear();
    for (const auto& [address, tracked] : state.members) {
        if (is_present(tracked.value)) {
            state.untold.push_back(tracked.value.membership_address);
        }
    }
    std::shuffle(state.untold.begin(), state.untold.end(), state.random);
    state.untold.resize(std::min(state.untold.size(), state.limits.most_told));
    std::vector<outgoing_message> out;
    tell_some(state, out);
    return out;
}

void tell_own_record(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (state.untold.empty() || now < state.next_telling_at) {
        return;
    }
    state.next_telling_at = now + state.limits.gossip_interval;
    tell_some(state, out);
}

std::vector<outgoing_message> push(swim_state& state) {
    std::vector<outgoing_message> out;
    gossip_to(state, sample(state, state.limits.push_fanout, {}), out);
    return out;
}

} // namespace monsoonlift::membership::internal
