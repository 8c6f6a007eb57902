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
void weaken_fence(const protocol_world& world, attempt_fence& fence) {
    const model_guards& guards = world.options.guards;
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

begin_decision begin_at(protocol_world& world, model_gate& at, const begin_request& request) {
    const model_guards& guards = world.options.guards;
    execution_state& state = at.state;
    std::optional<pending_homes> hidden;
    std::array<home_slot, home_slots> slots = state.homes.table.slots;
    begin_request asked = request;
    if (!guards.refuse_held_up_frames) {
        asked.expiry = core::wall_time::max();
    }
    if (!guards.stop_before_handover) {
        std::swap(hidden, state.homes.pending);
    }
    if (!guards.refuse_seen_keys) {
        for (home_slot& slot : state.homes.table.slots) {
            slot.seen_until = {};
        }
    }
    if (!guards.refuse_future_keys && asked.key.issued > world.wall_now(at.clock_offset) + clock_skew) {
        state.table.limits.clock_skew = 10min;
    }
    if (!guards.bind_permit_to_life && asked.key.gate &&
        asked.key.gate->address == state.homes.self.address) {
        asked.key.gate = state.homes.self;
    }
    const begin_decision decision = begin(state, asked, world.now, world.wall_now(at.clock_offset));
    state.table.limits.clock_skew = clock_skew;
    if (!guards.refuse_seen_keys) {
        state.homes.table.slots = slots;
    }
    if (hidden) {
        state.homes.pending = hidden;
    }
    weaken_fence(world, state.table.fence);
    return decision;
}

void reply(protocol_world& world, std::size_t to, const core::attempt_id& attempt,
           const begin_decision& decision) {
    if (world.answers.size() < most_messages) {
        world.answers.push_back({to, attempt, decision, world.runs > 0});
    }
}

void execute(protocol_world& world, ticket& running) {
    running.at = phase::sent;
    record_run(world, running);
}

} // namespace

void start_gate(protocol_world& world, std::size_t index) {
    model_gate& at = world.gates[index];
    model_gate fresh;
    at = std::move(fresh);
    at.state.table.limits = model_limits();
    if (world.options.small_fence) {
        at.state.table.fence.most_attempts = 1;
        at.state.table.fence.most_origins = 1;
    }
    at.state.homes.self = {gate_address(index), {world.next_life++}};
    world.note([&] { return "starts " + describe(at.state.homes.self); });
}

void deliver_frame(protocol_world& world) {
    if (world.frames.empty()) {
        return;
    }
    const std::size_t index = world.any(world.frames.size());
    const model_frame arrived = world.chance(20) ? world.frames[index] : take(world.frames, index);
    for (model_gate& at : world.gates) {
        const bool is_meant = at.running && !at.frozen && at.state.homes.self == arrived.receiver;
        if (!is_meant) {
            continue;
        }
        begin_request request = arrived.request;
        request.deadline = world.now + arrived.time_left;
        const begin_decision decision = begin_at(world, at, request);
        world.note([&] {
            return "copy " + std::to_string(arrived.copy) + " at " + describe(at.state.homes.self) +
                   ": action " + std::to_string(static_cast<int>(decision.action)) + ", reason " +
                   std::to_string(static_cast<int>(decision.reason));
        });
        if (decision.action == begin_action::run) {
            at.tickets.push_back({request, arrived.entry, arrived.copy, phase::begun});
        } else if (decision.action != begin_action::drop) {
            reply(world, arrived.entry, request.attempt, decision);
        }
        return;
    }
}

void work_at_gate(protocol_world& world) {
    model_gate& at = world.gates[world.any(world.gates.size())];
    if (!at.running || at.frozen || at.tickets.empty()) {
        return;
    }
    const std::size_t index = world.any(at.tickets.size());
    ticket& one = at.tickets[index];
    if (one.at != phase::begun) {
        return;
    }
    const auto& key = one.request.key.text;
    begin_decision refused;
    refused.action = begin_action::refuse;
    refused.verdict = verdict::not_run;
    if (world.chance(30)) {
        abandon(at.state.table, key);
        weaken_fence(world, at.state.table.fence);
        reply(world, one.entry, one.request.attempt, refused);
        take(at.tickets, index);
        return;
    }
    if (!world.options.guards.deadline_before_effect) {
        at.state.table.records.at(key).state = record_state::sent;
    } else if (!mark_sent(at.state.table, key, world.now)) {
        reply(world, one.entry, one.request.attempt, refused);
        take(at.tickets, index);
        return;
    }
    execute(world, one);
    if (!world.options.guards.remember_sent) {
        at.state.table.records.erase(key);
    }
}

void end_run(protocol_world& world) {
    model_gate& at = world.gates[world.any(world.gates.size())];
    if (!at.running || at.frozen || at.tickets.empty()) {
        return;
    }
    const std::size_t index = world.any(at.tickets.size());
    if (at.tickets[index].at != phase::sent) {
        return;
    }
    const ticket ended = take(at.tickets, index);
    begin_decision decision;
    if (world.chance(50)) {
        stored_answer stored;
        stored.status = 200;
        finish_ran(at.state.table, ended.request.key.text, stored, world.now);
        decision.verdict = verdict::ran;
    } else {
        finish_without_answer(at.state.table, ended.request.key.text, verdict::may_have_run, world.now);
        decision.verdict = verdict::may_have_run;
    }
    reply(world, ended.entry, ended.request.attempt, decision);
}

void crash_or_restart_gate(protocol_world& world) {
    const std::size_t index = world.any(world.gates.size());
    model_gate& at = world.gates[index];
    if (at.destroyed) {
        return;
    }
    if (!at.running) {
        start_gate(world, index);
        return;
    }
    world.note([&] { return "crash of " + describe(at.state.homes.self); });
    at.running = false;
    at.destroyed = world.chance(15);
}

void forget_at_gates(protocol_world& world) {
    const model_guards& guards = world.options.guards;
    for (model_gate& at : world.gates) {
        const core::wall_time wall_now = world.wall_now(at.clock_offset);
        expire(at.state.table, world.now, wall_now);
        attempt_fence& fence = at.state.table.fence;
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

void freeze_or_wake_gate(protocol_world& world) {
    model_gate& at = world.gates[world.any(world.gates.size())];
    at.frozen = !at.frozen;
    world.note([&] { return (at.frozen ? "frozen " : "woken ") + describe(at.state.homes.self); });
}

void toggle_leaving(protocol_world& world) {
    model_gate& at = world.gates[world.any(world.gates.size())];
    at.leaves = !at.leaves;
}

void fence_destroyed_gate(protocol_world& world) {
    for (std::size_t index = 0; index < world.gates.size(); ++index) {
        if (!world.gates[index].destroyed) {
            continue;
        }
        world.note([&] { return "fenced " + gate_address(index); });
        home_table fenced = fence_holder(world.store, gate_address(index), world.wall_now());
        if (fenced.slots != world.store.slots) {
            fenced.version = world.store.version + 1;
            world.store = fenced;
        }
        // Operators replace the VM by a new one, with another process at the same address.
        start_gate(world, index);
        return;
    }
}

} // namespace monsoonlift::execution::testing
