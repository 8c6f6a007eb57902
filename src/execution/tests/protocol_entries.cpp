#include "execution/tests/protocol_entries.h"

#include "execution/tests/protocol_checks.h"

#include <algorithm>

namespace monsoonlift::execution::testing {

namespace {

using core::verdict;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr unsigned most_tries = 4;

core::endpoint_id target_of(protocol_environment& environment, std::size_t entry_index) {
    if (environment.key.gate && environment.options.guards.bind_permit_to_incarnation) {
        return *environment.key.gate;
    }
    return environment.entries[entry_index].home.value_or(
        environment.gates[environment.random_index(environment.gates.size())].state.homes.self);
}

void send_attempt(protocol_environment& environment, std::size_t entry_index, model_call& call) {
    ++call.tries;
    model_frame sent;
    sent.receiver = target_of(environment, entry_index);
    environment.note(
        [&] { return "copy " + std::to_string(call.copy) + " sent to " + describe(sent.receiver); });
    sent.entry = entry_index;
    sent.copy = call.copy;
    const auto time_left = std::chrono::duration_cast<milliseconds>(call.deadline - environment.now);
    sent.request = {environment.key,
                    {1},
                    call.attempt,
                    {},
                    environment.wall_now(environment.entries[entry_index].clock_offset) + time_left};
    sent.time_left = time_left;
    if (environment.frames.size() < most_messages) {
        environment.frames.push_back(sent);
    }
}

} // namespace

void resend(protocol_environment& environment) {
    // Callers must not resend after the resend window. An exploration sends at most 13 copies.
    if (environment.now - environment.first_send >= resend_window - patience ||
        environment.received_not_run.size() > 12) {
        return;
    }
    const std::size_t index = environment.random_index(environment.entries.size());
    model_entry& entry = environment.entries[index];
    model_call one;
    one.copy = environment.received_not_run.size();
    one.attempt = {entry.life, entry.next_call++, 0};
    one.deadline = environment.now + patience;
    environment.received_not_run.push_back(false);
    send_attempt(environment, index, one);
    entry.calls.push_back(one);
}

void deliver_answer(protocol_environment& environment) {
    if (environment.answers.empty()) {
        return;
    }
    const std::size_t index = environment.random_index(environment.answers.size());
    const model_answer arrived =
        environment.chance(10) ? environment.answers[index] : take(environment.answers, index);
    model_entry& entry = environment.entries[arrived.entry];
    const auto found = std::find_if(entry.calls.begin(), entry.calls.end(), [&](const model_call& one) {
        return !one.done && one.attempt == arrived.attempt;
    });
    if (found == entry.calls.end()) {
        return;
    }
    const bool is_elsewhere = is_about_home(arrived.decision.reason);
    if (arrived.decision.reason == begin_reason::wrong_home && !environment.key.gate &&
        arrived.decision.homes_version >= entry.homes_version) {
        entry.home = arrived.decision.home;
        entry.homes_version = arrived.decision.homes_version;
    }
    if (is_elsewhere && environment.options.guards.home_alone_says_not_run) {
        if (found->tries < most_tries && environment.now < found->deadline) {
            ++found->attempt.attempt;
            send_attempt(environment, arrived.entry, *found);
            return;
        }
        found->done = true;
        record_verdict(environment, found->copy, verdict::may_have_run, false);
        return;
    }
    found->done = true;
    record_verdict(environment, found->copy, arrived.decision.verdict, arrived.had_run);
}

void give_up_call(protocol_environment& environment) {
    model_entry& entry = environment.entries[environment.random_index(environment.entries.size())];
    for (model_call& one : entry.calls) {
        if (!one.done && environment.chance(50)) {
            one.done = true;
            record_verdict(environment, one.copy, verdict::may_have_run, false);
            return;
        }
    }
}

void crash_entry(protocol_environment& environment) {
    model_entry& entry = environment.entries[environment.random_index(environment.entries.size())];
    entry = {};
    entry.life = {environment.next_incarnation++};
}

} // namespace monsoonlift::execution::testing
