#include "execution/tests/protocol_store.h"

namespace monsoonlift::execution::testing {

namespace {

using std::chrono::milliseconds;

void adopt_at(protocol_world& world, model_gate& at, const home_table& read) {
    if (!world.options.guards.ignore_older_reads) {
        at.state.homes.table.version = 0;
    }
    adopt(at.state.homes, read);
}

} // namespace

void start_store_call(protocol_world& world) {
    const std::size_t index = world.any(world.gates.size());
    model_gate& at = world.gates[index];
    if (!at.running || at.frozen || at.calling || world.store_requests.size() >= most_messages) {
        return;
    }
    store_request request;
    request.gate = index;
    request.life = at.state.homes.self.life;
    request.number = ++at.call_number;
    if (at.state.homes.table.version == 0 || world.chance(40)) {
        request.kind = store_call::read;
    } else if (at.state.homes.pending) {
        request.kind = store_call::write;
        request.expected_version = at.state.homes.pending->expected_version;
        request.table = at.state.homes.table;
    } else {
        std::vector<core::endpoint_id> others;
        const model_gate& other = world.gates[1 - index];
        if (other.running && !other.leaves) {
            others.push_back(other.state.homes.self);
        }
        const auto wanted = propose(at.state.homes, others, at.leaves, world.wall_now(at.clock_offset));
        if (!wanted) {
            return;
        }
        begin_write(at.state.homes, *wanted);
        request.kind = store_call::write;
        request.expected_version = wanted->version;
        request.table = *wanted;
        request.is_plan = true;
    }
    at.calling = true;
    world.store_requests.push_back(request);
}

void run_store_call(protocol_world& world) {
    if (world.store_requests.empty()) {
        return;
    }
    const store_request request = take(world.store_requests, world.any(world.store_requests.size()));
    store_answer done{request, true, {}};
    if (request.kind == store_call::write) {
        done.succeeded = world.store.version == request.expected_version;
        if (done.succeeded) {
            const std::size_t slot = slot_of(world.key.text);
            world.handovers += world.store.slots[slot].holder != request.table.slots[slot].holder ? 1 : 0;
            world.store = *read_homes(write_homes(request.table), world.store.version + 1);
            const auto seen = world.store.slots[slot].seen_until - epoch;
            world.note([&] {
                return "store version " + std::to_string(world.store.version) + " by " +
                       gate_address(request.gate) + ": held by " + describe(world.store.slots[slot].holder) +
                       ", seen until " +
                       std::to_string(std::chrono::duration_cast<milliseconds>(seen).count()) + " ms";
            });
        }
    }
    done.table = world.store;
    world.store_answers.push_back(done);
}

void deliver_store_answer(protocol_world& world) {
    if (world.store_answers.empty()) {
        return;
    }
    const store_answer done = take(world.store_answers, world.any(world.store_answers.size()));
    const store_request& request = done.request;
    model_gate& at = world.gates[request.gate];
    if (!at.running || at.state.homes.self.life != request.life) {
        return;
    }
    if (at.frozen) {
        world.store_answers.push_back(done);
        return;
    }
    at.calling = at.calling && at.call_number != request.number;
    if (request.kind == store_call::read) {
        adopt_at(world, at, done.table);
        const bool looks_unchanged = at.state.homes.pending &&
                                     at.state.homes.pending->expected_version == at.state.homes.table.version;
        if (looks_unchanged && !world.options.guards.settle_lost_writes) {
            cancel_write(at.state.homes);
        }
        return;
    }
    if (done.succeeded && request.is_plan) {
        confirm_write(at.state.homes, done.table.version);
    } else if (done.succeeded) {
        home_table unchanged = request.table;
        unchanged.version = done.table.version;
        adopt_at(world, at, unchanged);
    }
}

void lose_store_answer(protocol_world& world) {
    model_gate& at = world.gates[world.any(world.gates.size())];
    // The gate stops waiting; the request may still reach the store, and the answer may still arrive.
    at.calling = false;
    if (!world.store_answers.empty() && world.chance(50)) {
        take(world.store_answers, world.any(world.store_answers.size()));
    }
}

} // namespace monsoonlift::execution::testing
