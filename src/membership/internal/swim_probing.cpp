#include "membership/internal/swim_probing.h"

#include "membership/swim_table.h"

#include <algorithm>

namespace monsoonlift::membership::internal {

namespace {

constexpr int stalled_probe_intervals = 2;

void set_status(swim_state& state, const std::string& address, member_status status, core::steady_time now) {
    const auto known = state.members.find(address);
    if (known == state.members.end()) {
        return;
    }
    member changed = known->second.value;
    changed.status = status;
    merge(state, changed, now);
}

swim_message make_probe(swim_state& state, const member& target) {
    swim_message probe = make_message(state, message_kind::probe);
    probe.target = target.id;
    probe.records.push_back(state.self);
    if (target.status != member_status::alive) {
        probe.records.push_back(target);
    }
    return probe;
}

void request_indirect_probes(swim_state& state, std::vector<outgoing_message>& out) {
    awaited_ack& awaited = *state.awaited;
    awaited.indirect = true;
    for (const member& helper : sample(state, state.limits.indirect_probes, awaited.target.address)) {
        swim_message request = make_message(state, message_kind::probe_request);
        request.sequence = awaited.sequence;
        request.target = awaited.target;
        out.push_back({helper.membership_address, request});
    }
}

std::optional<member> next_in_order(swim_state& state) {
    while (state.next_probe < state.probe_order.size()) {
        const auto known = state.members.find(state.probe_order[state.next_probe++]);
        if (known != state.members.end() && is_present(known->second.value)) {
            return known->second.value;
        }
    }
    return std::nullopt;
}

std::optional<member> next_target(swim_state& state) {
    if (auto target = next_in_order(state)) {
        return target;
    }
    state.probe_order.clear();
    state.next_probe = 0;
    for (const auto& [address, tracked] : state.members) {
        if (is_present(tracked.value)) {
            state.probe_order.push_back(address);
        }
    }
    std::shuffle(state.probe_order.begin(), state.probe_order.end(), state.random);
    return next_in_order(state);
}

void relay_ack(swim_state& state, const swim_message& ack, std::vector<outgoing_message>& out) {
    const auto relayed =
        std::find_if(state.relayed.begin(), state.relayed.end(),
                     [&](const relayed_probe& probe) { return probe.sequence == ack.sequence; });
    if (relayed == state.relayed.end()) {
        return;
    }
    swim_message answer = make_message(state, message_kind::ack);
    answer.sequence = relayed->requester_sequence;
    answer.target = ack.target;
    out.push_back({relayed->requester, answer});
    state.relayed.erase(relayed);
}

} // namespace

void reset_timers_after_stall(swim_state& state, core::steady_time now) {
    const auto gap = now - state.last_tick;
    state.last_tick = now;
    if (gap <= stalled_probe_intervals * state.limits.probe_interval) {
        return;
    }
    state.awaited.reset();
    for (const std::string& address : state.suspects) {
        state.members.at(address).since = now;
    }
}

void check_awaited_ack(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (!state.awaited) {
        return;
    }
    const auto silence = now - state.awaited->sent;
    if (silence >= state.limits.probe_interval) {
        const core::endpoint_id target = state.awaited->target;
        state.awaited.reset();
        const auto known = state.members.find(target.address);
        if (known != state.members.end() && known->second.value.id == target &&
            known->second.value.status == member_status::alive) {
            set_status(state, target.address, member_status::suspect, now);
        }
        return;
    }
    if (silence >= state.limits.ack_timeout && !state.awaited->indirect) {
        request_indirect_probes(state, out);
    }
}

void check_suspicions(swim_state& state, core::steady_time now) {
    if (now < state.next_suspicion_at) {
        return;
    }
    const auto timeout = suspicion_timeout(state);
    state.next_suspicion_at = now + timeout;
    std::vector<std::string> silent;
    for (const std::string& address : state.suspects) {
        const core::steady_time ends = state.members.at(address).since + timeout;
        if (ends <= now) {
            silent.push_back(address);
        } else {
            state.next_suspicion_at = std::min(state.next_suspicion_at, ends);
        }
    }
    for (const std::string& address : silent) {
        set_status(state, address, member_status::dead, now);
    }
}

void probe_next(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (state.awaited || now < state.next_probe_at) {
        return;
    }
    state.next_probe_at = now + state.limits.probe_interval;
    const std::optional<member> target = next_target(state);
    if (!target) {
        return;
    }
    swim_message probe = make_probe(state, *target);
    add_updates(state, probe);
    state.awaited = {target->id, probe.sequence, now, false};
    out.push_back({target->membership_address, probe});
}

void probe_random_dead_member(swim_state& state, core::steady_time now, std::vector<outgoing_message>& out) {
    if (now < state.next_dead_probe_at) {
        return;
    }
    state.next_dead_probe_at = now + state.limits.dead_probe_interval;
    std::vector<const member*> dead;
    for (const auto& [address, tracked] : state.members) {
        if (tracked.value.status == member_status::dead) {
            dead.push_back(&tracked.value);
        }
    }
    if (dead.empty()) {
        return;
    }
    std::uniform_int_distribution<std::size_t> any(0, dead.size() - 1);
    const member& target = *dead[any(state.random)];
    out.push_back({target.membership_address, make_probe(state, target)});
}

void answer_probe(swim_state& state, const std::string& from, const swim_message& probe,
                  std::vector<outgoing_message>& out) {
    if (probe.target.address != state.self.id.address) {
        return;
    }
    swim_message ack = make_message(state, message_kind::ack);
    ack.sequence = probe.sequence;
    ack.target = probe.target;
    ack.records.push_back(state.self);
    const auto sender = state.members.find(probe.sender.address);
    if (sender != state.members.end() && sender->second.value.status != member_status::alive) {
        ack.records.push_back(sender->second.value);
    }
    add_updates(state, ack);
    out.push_back({from, ack});
}

void handle_ack(swim_state& state, const swim_message& ack, std::vector<outgoing_message>& out) {
    if (state.awaited && state.awaited->sequence == ack.sequence) {
        state.awaited.reset();
        return;
    }
    relay_ack(state, ack, out);
}

void probe_on_request(swim_state& state, const std::string& from, const swim_message& request,
                      core::steady_time now, std::vector<outgoing_message>& out) {
    const auto target = state.members.find(request.target.address);
    if (target == state.members.end()) {
        return;
    }
    const swim_message probe = make_probe(state, target->second.value);
    state.relayed.push_back({probe.sequence, request.sequence, from, now});
    out.push_back({target->second.value.membership_address, probe});
}

} // namespace monsoonlift::membership::internal
