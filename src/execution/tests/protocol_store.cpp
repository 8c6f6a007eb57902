#include "execution/tests/protocol_store.h"

namespace monsoonlift::execution::testing {

namespace {

using std::chrono::milliseconds;

void adopt_at(protocol_environment& environment, model_gate& gate, const home_table& read) {
    if (!environment.options.guards.ignore_older_reads) {
        gate.state.homes.table.version = 0;
    }
    adopt(gate.state.homes, read);
}

} // namespace

void start_store_call(protocol_environment& environment) {
    const std::size_t index = environment.random_index(environment.gates.size());
    model_gate& gate = environment.gates[index];
    if (!gate.running || gate.frozen || gate.calling || environment.store_requests.size() >= most_messages) {
        return;
    }
    store_request request;
    request.gate = index;
    request.life = gate.state.homes.self.life;
    request.number = ++gate.call_number;
    if (gate.state.homes.table.version == 0 || environment.chance(40)) {
        request.kind = store_call::read;
    } else if (gate.state.homes.pending) {
        request.kind = store_call::write;
        request.expected_version = gate.state.homes.pending->expected_version;
        request.table = gate.state.homes.table;
    } else {
        std::vector<core::endpoint_id> others;
        const model_gate& other = environment.gates[1 - index];
        if (other.running && !other.leaves) {
            others.push_back(other.state.homes.self);
        }
        const auto proposed =
            propose(gate.state.homes, others, gate.leaves, environment.wall_now(gate.clock_offset));
        if (!proposed) {
            return;
        }
        begin_write(gate.state.homes, *proposed);
        request.kind = store_call::write;
        request.expected_version = proposed->version;
        request.table = *proposed;
        request.is_proposal = true;
    }
    gate.calling = true;
    environment.store_requests.push_back(request);
}

void run_store_call(protocol_environment& environment) {
    if (environment.store_requests.empty()) {
        return;
    }
    const store_request request =
        take(environment.store_requests, environment.random_index(environment.store_requests.size()));
    store_answer done{request, true, {}};
    if (request.kind == store_call::write) {
        done.succeeded = environment.store.version == request.expected_version;
        if (done.succeeded) {
            const std::size_t slot = slot_of(environment.key.text);
            environment.handovers +=
                environment.store.slots[slot].holder != request.table.slots[slot].holder ? 1 : 0;
            environment.store = *read_homes(write_homes(request.table), environment.store.version + 1);
            const auto seen = environment.store.slots[slot].seen_until - epoch;
            environment.note([&] {
                return "store version " + std::to_string(environment.store.version) + " by " +
                       gate_address(request.gate) + ": held by " +
                       describe(environment.store.slots[slot].holder) + ", seen until " +
                       std::to_string(std::chrono::duration_cast<milliseconds>(seen).count()) + " ms";
            });
        }
    }
    done.table = environment.store;
    environment.store_answers.push_back(done);
}

void deliver_store_answer(protocol_environment& environment) {
    if (environment.store_answers.empty()) {
        return;
    }
    const store_answer done =
        take(environment.store_answers, environment.random_index(environment.store_answers.size()));
    const store_request& request = done.request;
    model_gate& gate = environment.gates[request.gate];
    if (!gate.running || gate.state.homes.self.life != request.life) {
        return;
    }
    if (gate.frozen) {
        environment.store_answers.push_back(done);
        return;
    }
    gate.calling = gate.calling && gate.call_number != request.number;
    if (request.kind == store_call::read) {
        adopt_at(environment, gate, done.table);
        const bool looks_unchanged = gate.state.homes.pending && gate.state.homes.pending->expected_version ==
                                                                     gate.state.homes.table.version;
        if (looks_unchanged && !environment.options.guards.settle_lost_writes) {
            cancel_write(gate.state.homes);
        }
        return;
    }
    if (done.succeeded && request.is_proposal) {
        confirm_write(gate.state.homes, done.table.version);
    } else if (done.succeeded) {
        home_table unchanged = request.table;
        unchanged.version = done.table.version;
        adopt_at(environment, gate, unchanged);
    }
}

void lose_store_answer(protocol_environment& environment) {
    model_gate& gate = environment.gates[environment.random_index(environment.gates.size())];
    // The gate stops waiting; the request may still reach the store, and the answer may still arrive.
    gate.calling = false;
    if (!environment.store_answers.empty() && environment.chance(50)) {
        take(environment.store_answers, environment.random_index(environment.store_answers.size()));
    }
}

} // namespace monsoonlift::execution::testing
