#include "execution/tests/protocol_gates.h"

#include "execution/tests/protocol_checks.h"

namespace monsoonlift::execution::testing {

namespace {

using core::verdict;
using namespace std::chrono_literals;

execution_limits model_limits() {
    execution_limits limits;
    limits.resend_window = resend_window;
    limits.clock_skew = clock_skew;
    return limits;
}

/// Removes from the fence the state that belongs to a disabled guard.
void weaken_fence(const protocol_environment& environment, attempt_fence& fence) {
    const model_guards& guards = environment.options.guards;
    if (!guards.fence_refused_attempts) {
        fence = {};
    }
    if (!guards.cover_dropped_attempts) {
        fence.horizon = core::wall_time::min();
        for (auto& [origin, refused] : fence.origins) {
            refused.covered.reset();
        }
    }
}

begin_decision begin_at(protocol_environment& environment, model_gate& gate, const begin_request& request) {
    const model_guards& guards = environment.options.guards;
    execution_state& state = gate.state;
    std::optional<pending_homes> hidden;
    std::array<home_slot, home_slots> slots = state.homes.table.slots;
    begin_request adjusted = request;
    if (!guards.refuse_held_up_frames) {
        adjusted.expiry = core::wall_time::max();
    }
    if (!guards.stop_before_handover) {
        std::swap(hidden, state.homes.pending);
    }
    if (!guards.refuse_seen_keys) {
        for (home_slot& slot : state.homes.table.slots) {
            slot.seen_until = {};
        }
    }
    if (!guards.refuse_future_keys &&
        adjusted.key.issued > environment.wall_now(gate.clock_offset) + clock_skew) {
        state.table.limits.clock_skew = 10min;
    }
    if (!guards.bind_permit_to_incarnation && adjusted.key.gate &&
        adjusted.key.gate->address == state.homes.self.address) {
        adjusted.key.gate = state.homes.self;
    }
    const begin_decision decision =
        begin(state, adjusted, environment.now, environment.wall_now(gate.clock_offset));
    state.table.limits.clock_skew = clock_skew;
    if (!guards.refuse_seen_keys) {
        state.homes.table.slots = slots;
    }
    if (hidden) {
        state.homes.pending = hidden;
    }
    weaken_fence(environment, state.table.fence);
    return decision;
}

void reply(protocol_environment& environment, std::size_t to, const core::attempt_id& attempt,
           const begin_decision& decision) {
    if (environment.answers.size() < most_messages) {
        environment.answers.push_back({to, attempt, decision, environment.runs > 0});
    }
}

void execute(protocol_environment& environment, accepted_attempt& running) {
    running.progress = phase::sent;
    record_run(environment, running);
}

} // namespace

void start_gate(protocol_environment& environment, std::size_t index) {
    model_gate& gate = environment.gates[index];
    model_gate fresh;
    gate = std::move(fresh);
    gate.state.table.limits = model_limits();
    if (environment.options.small_fence) {
        gate.state.table.fence.most_attempts = 1;
        gate.state.table.fence.most_origins = 1;
    }
    gate.state.homes.self = {gate_address(index), {environment.next_incarnation++}};
    environment.note([&] { return "starts " + describe(gate.state.homes.self); });
}

void deliver_frame(protocol_environment& environment) {
    if (environment.frames.empty()) {
        return;
    }
    const std::size_t index = environment.random_index(environment.frames.size());
    const model_frame arrived =
        environment.chance(20) ? environment.frames[index] : take(environment.frames, index);
    for (model_gate& gate : environment.gates) {
        const bool is_meant = gate.running && !gate.frozen && gate.state.homes.self == arrived.receiver;
        if (!is_meant) {
            continue;
        }
        begin_request request = arrived.request;
        request.deadline = environment.now + arrived.time_left;
        const begin_decision decision = begin_at(environment, gate, request);
        environment.note([&] {
            return "copy " + std::to_string(arrived.copy) + " at " + describe(gate.state.homes.self) +
                   ": action " + std::to_string(static_cast<int>(decision.action)) + ", reason " +
                   std::to_string(static_cast<int>(decision.reason));
        });
        if (decision.action == begin_action::run) {
            gate.accepted_attempts.push_back({request, arrived.entry, arrived.copy, phase::begun});
        } else if (decision.action != begin_action::drop) {
            reply(environment, arrived.entry, request.attempt, decision);
        }
        return;
    }
}

void work_at_gate(protocol_environment& environment) {
    model_gate& gate = environment.gates[environment.random_index(environment.gates.size())];
    if (!gate.running || gate.frozen || gate.accepted_attempts.empty()) {
        return;
    }
    const std::size_t index = environment.random_index(gate.accepted_attempts.size());
    accepted_attempt& one = gate.accepted_attempts[index];
    if (one.progress != phase::begun) {
        return;
    }
    const auto& key = one.request.key.text;
    begin_decision refused;
    refused.action = begin_action::refuse;
    refused.verdict = verdict::not_run;
    if (environment.chance(30)) {
        abandon(gate.state.table, key);
        weaken_fence(environment, gate.state.table.fence);
        reply(environment, one.entry, one.request.attempt, refused);
        take(gate.accepted_attempts, index);
        return;
    }
    if (!environment.options.guards.deadline_before_effect) {
        gate.state.table.records.at(key).state = record_state::sent;
    } else if (!mark_sent(gate.state.table, key, environment.now)) {
        reply(environment, one.entry, one.request.attempt, refused);
        take(gate.accepted_attempts, index);
        return;
    }
    execute(environment, one);
    if (!environment.options.guards.remember_sent) {
        gate.state.table.records.erase(key);
    }
}

void end_run(protocol_environment& environment) {
    model_gate& gate = environment.gates[environment.random_index(environment.gates.size())];
    if (!gate.running || gate.frozen || gate.accepted_attempts.empty()) {
        return;
    }
    const std::size_t index = environment.random_index(gate.accepted_attempts.size());
    if (gate.accepted_attempts[index].progress != phase::sent) {
        return;
    }
    const accepted_attempt ended = take(gate.accepted_attempts, index);
    begin_decision decision;
    if (environment.chance(50)) {
        stored_answer stored;
        stored.status = 200;
        finish_ran(gate.state.table, ended.request.key.text, stored, environment.now);
        decision.verdict = verdict::ran;
    } else {
        finish_without_answer(gate.state.table, ended.request.key.text, verdict::may_have_run,
                              environment.now);
        decision.verdict = verdict::may_have_run;
    }
    reply(environment, ended.entry, ended.request.attempt, decision);
}

void crash_or_restart_gate(protocol_environment& environment) {
    const std::size_t index = environment.random_index(environment.gates.size());
    model_gate& gate = environment.gates[index];
    if (gate.destroyed) {
        return;
    }
    if (!gate.running) {
        start_gate(environment, index);
        return;
    }
    environment.note([&] { return "crash of " + describe(gate.state.homes.self); });
    gate.running = false;
    gate.destroyed = environment.chance(15);
}

void forget_at_gates(protocol_environment& environment) {
    const model_guards& guards = environment.options.guards;
    for (model_gate& gate : environment.gates) {
        const core::wall_time wall_now = environment.wall_now(gate.clock_offset);
        expire(gate.state.table, environment.now, wall_now);
        attempt_fence& fence = gate.state.table.fence;
        if (!guards.keep_refused_past_expiry) {
            expire(fence, wall_now, 0ms);
            fence.horizon = core::wall_time::min();
        }
        if (!guards.keep_refused_twice_the_skew) {
            expire(fence, wall_now, clock_skew / 2);
            fence.horizon = core::wall_time::min();
        }
    }
}

void freeze_or_wake_gate(protocol_environment& environment) {
    model_gate& gate = environment.gates[environment.random_index(environment.gates.size())];
    gate.frozen = !gate.frozen;
    environment.note([&] { return (gate.frozen ? "frozen " : "woken ") + describe(gate.state.homes.self); });
}

void toggle_leaving(protocol_environment& environment) {
    model_gate& gate = environment.gates[environment.random_index(environment.gates.size())];
    gate.leaves = !gate.leaves;
}

void fence_destroyed_gate(protocol_environment& environment) {
    for (std::size_t index = 0; index < environment.gates.size(); ++index) {
        if (!environment.gates[index].destroyed) {
            continue;
        }
        environment.note([&] { return "fenced " + gate_address(index); });
        home_table fenced = fence_holder(environment.store, gate_address(index), environment.wall_now());
        if (fenced.slots != environment.store.slots) {
            fenced.version = environment.store.version + 1;
            environment.store = fenced;
        }
        // Operators replace the VM by a new one, with another process at the same address.
        start_gate(environment, index);
        return;
    }
}

} // namespace monsoonlift::execution::testing
