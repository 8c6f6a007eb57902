#include "execution/execution_rules.h"

#include <algorithm>

namespace monsoonlift::execution {

namespace {

begin_decision refuse_with(const execution_state& state, begin_reason reason, core::verdict verdict) {
    begin_decision decision;
    decision.action = begin_action::refuse;
    decision.reason = reason;
    decision.verdict = verdict;
    decision.homes_version = state.homes.table.version;
    return decision;
}

begin_decision check_permit(const execution_state& state, const core::endpoint_id& gate) {
    if (gate == state.homes.self) {
        return {};
    }
    if (gate.address == state.homes.self.address) {
        return refuse_with(state, begin_reason::gate_gone, core::verdict::may_have_run);
    }
    begin_decision decision = refuse_with(state, begin_reason::wrong_home, core::verdict::not_run);
    decision.home = gate;
    return decision;
}

bool may_have_been_seen(const execution_limits& limits, const execution_key& key, core::wall_time seen_until,
                        core::wall_time wall_now) {
    if (seen_until == core::wall_time{}) {
        return false;
    }
    if (key.issued) {
        return *key.issued <= seen_until + limits.clock_skew;
    }
    return wall_now <= seen_until + limits.resend_window + limits.clock_skew;
}

void record_begin(home_view& homes, const execution_key& key, core::wall_time wall_now) {
    const std::size_t slot = slot_of(key.text);
    homes.last_begun[slot] = std::max(homes.last_begun[slot], wall_now);
    if (key.kind == key_kind::opaque) {
        homes.last_opaque_begun[slot] = std::max(homes.last_opaque_begun[slot], wall_now);
    }
}

} // namespace

begin_decision check_home(const execution_state& state, const execution_key& key, core::wall_time wall_now) {
    if (key.kind == key_kind::attempt) {
        return {};
    }
    if (key.kind == key_kind::permit) {
        return check_permit(state, *key.gate);
    }
    const std::size_t index = slot_of(key.text);
    const home_slot& slot = state.homes.table.slots[index];
    if (state.homes.table.version == 0 || slot.holder.address.empty()) {
        return refuse_with(state, begin_reason::home_unknown, core::verdict::not_run);
    }
    if (is_changing(state.homes, index)) {
        return refuse_with(state, begin_reason::home_changing, core::verdict::not_run);
    }
    if (!holds(state.homes, index)) {
        begin_decision decision = refuse_with(state, begin_reason::wrong_home, core::verdict::not_run);
        decision.home = slot.holder;
        return decision;
    }
    if (may_have_been_seen(state.table.limits, key, slot.seen_until, wall_now)) {
        return refuse_with(state, begin_reason::seen_before, core::verdict::may_have_run);
    }
    return {};
}

begin_decision begin(execution_state& state, const begin_request& request, core::steady_time now,
                     core::wall_time wall_now) {
    begin_decision decision = recall(state.table, request);
    // NOTE: the home is checked before the times, so that only the home of a key answers not_run for the
    // key's request.
    if (decision.action == begin_action::run) {
        decision = check_home(state, request.key, wall_now);
    }
    if (decision.action == begin_action::run) {
        decision = check_times(state.table, request, now, wall_now);
    }
    if (decision.action == begin_action::run) {
        decision = open_record(state.table, request);
    }
    if (decision.action == begin_action::run) {
        record_begin(state.homes, request.key, wall_now);
    }
    const bool is_final =
        decision.action == begin_action::refuse && decision.verdict == core::verdict::not_run;
    if (is_final) {
        refuse(state.table.fence, request.attempt, request.expiry);
    }
    return decision;
}

} // namespace monsoonlift::execution
