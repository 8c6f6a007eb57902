#include "execution/tests/protocol_entries.h"

#include "execution/tests/protocol_checks.h"

#include <algorithm>

namespace monsoonlift::execution::testing {

namespace {

using core::verdict;
using std::chrono::milliseconds;
using namespace std::chrono_literals;

constexpr unsigned most_tries = 4;

core::endpoint_id target_of(protocol_world& world, std::size_t from) {
    if (world.key.gate && world.options.guards.bind_permit_to_life) {
        return *world.key.gate;
    }
    return world.entries[from].home.value_or(world.gates[world.any(world.gates.size())].state.homes.self);
}

void send_attempt(protocol_world& world, std::size_t from, model_call& of) {
    ++of.tries;
    model_frame sent;
    sent.receiver = target_of(world, from);
    world.note([&] { return "copy " + std::to_string(of.copy) + " sent to " + describe(sent.receiver); });
    sent.entry = from;
    sent.copy = of.copy;
    const auto time_left = std::chrono::duration_cast<milliseconds>(of.deadline - world.now);
    sent.request = {
        world.key, {1}, of.attempt, {}, world.wall_now(world.entries[from].clock_offset) + time_left};
    sent.time_left = time_left;
    if (world.frames.size() < most_messages) {
        world.frames.push_back(sent);
    }
}

} // namespace

void resend(protocol_world& world) {
    // Callers must not resend after the resend window. An exploration sends at most 13 copies.
    if (world.now - world.first_send >= resend_window - patience || world.told_not_run.size() > 12) {
        return;
    }
    const std::size_t index = world.any(world.entries.size());
    model_entry& at = world.entries[index];
    model_call one;
    one.copy = world.told_not_run.size();
    one.attempt = {at.life, at.next_call++, 0};
    one.deadline = world.now + patience;
    world.told_not_run.push_back(false);
    send_attempt(world, index, one);
    at.calls.push_back(one);
}

void deliver_answer(protocol_world& world) {
    if (world.answers.empty()) {
        return;
    }
    const std::size_t index = world.any(world.answers.size());
    const model_answer arrived = world.chance(10) ? world.answers[index] : take(world.answers, index);
    model_entry& at = world.entries[arrived.entry];
    const auto found = std::find_if(at.calls.begin(), at.calls.end(), [&](const model_call& one) {
        return !one.done && one.attempt == arrived.attempt;
    });
    if (found == at.calls.end()) {
        return;
    }
    const bool is_elsewhere = is_about_home(arrived.decision.reason);
    if (arrived.decision.reason == begin_reason::wrong_home && !world.key.gate &&
        arrived.decision.homes_version >= at.homes_version) {
        at.home = arrived.decision.home;
        at.homes_version = arrived.decision.homes_version;
    }
    if (is_elsewhere && world.options.guards.home_alone_says_not_run) {
        if (found->tries < most_tries && world.now < found->deadline) {
            ++found->attempt.attempt;
            send_attempt(world, arrived.entry, *found);
            return;
        }
        found->done = true;
        record_told(world, found->copy, verdict::may_have_run, false);
        return;
    }
    found->done = true;
    record_told(world, found->copy, arrived.decision.verdict, arrived.had_run);
}

void give_up_call(protocol_world& world) {
    model_entry& at = world.entries[world.any(world.entries.size())];
    for (model_call& one : at.calls) {
        if (!one.done && world.chance(50)) {
            one.done = true;
            record_told(world, one.copy, verdict::may_have_run, false);
            return;
        }
    }
}

void crash_entry(protocol_world& world) {
    model_entry& at = world.entries[world.any(world.entries.size())];
    at = {};
    at.life = {world.next_life++};
}

} // namespace monsoonlift::execution::testing
