#include "execution/execution_table.h"

#include <algorithm>

namespace monsoonlift::execution {

namespace {

begin_decision refuse_with(begin_reason reason, core::verdict verdict) {
    begin_decision decision;
    decision.action = begin_action::refuse;
    decision.reason = reason;
    decision.verdict = verdict;
    return decision;
}

begin_decision drop_copy() {
    begin_decision decision;
    decision.action = begin_action::drop;
    return decision;
}

begin_decision recall_end(const execution_record& record) {
    if (record.verdict != core::verdict::ran) {
        return refuse_with(begin_reason::outcome_unknown, core::verdict::may_have_run);
    }
    if (!record.answer) {
        return refuse_with(begin_reason::answer_not_kept, core::verdict::ran);
    }
    begin_decision decision;
    decision.action = begin_action::replay;
    decision.verdict = core::verdict::ran;
    decision.answer = record.answer;
    return decision;
}

void end_record(execution_table& table, const std::string& key, core::verdict verdict,
                core::steady_time now) {
    const auto found = table.records.find(key);
    if (found == table.records.end() || found->second.state == record_state::ended) {
        return;
    }
    found->second.state = record_state::ended;
    found->second.verdict = verdict;
    if (!found->second.is_of_attempt) {
        table.ends.emplace_back(now, key);
        return;
    }
    const auto over = std::max(now, found->second.deadline) + 2 * table.limits.clock_skew;
    table.attempt_ends.emplace(over, ended_attempt{key, now + retention(table.limits)});
}

void remove_record(execution_table& table, const std::string& key) {
    const auto found = table.records.find(key);
    if (found == table.records.end()) {
        return;
    }
    table.answer_bytes -= found->second.answer ? size_of(*found->second.answer) : 0;
    table.records.erase(found);
}

void expire_attempts(execution_table& table, core::steady_time now, core::wall_time wall_now) {
    while (!table.attempt_ends.empty() && table.attempt_ends.begin()->first <= now) {
        auto ended = table.attempt_ends.extract(table.attempt_ends.begin());
        const auto& [key, latest] = ended.mapped();
        const auto found = table.records.find(key);
        if (found == table.records.end()) {
            continue;
        }
        const auto expiry = found->second.expiry;
        const bool has_expired = expiry < wall_now - 2 * table.limits.clock_skew;
        if (!has_expired && now < latest) {
            ended.key() = now + table.limits.clock_skew;
            table.attempt_ends.insert(std::move(ended));
            continue;
        }
        if (has_expired) {
            cover(table.fence, expiry);
        }
        remove_record(table, key);
    }
}

/// Removes the key's record if it is in this state, and refuses its attempt permanently.
void refuse_record(execution_table& table, const std::string& key, record_state state) {
    const auto found = table.records.find(key);
    if (found == table.records.end() || found->second.state != state) {
        return;
    }
    refuse(table.fence, found->second.attempt, found->second.expiry);
    table.records.erase(found);
}

} // namespace

begin_decision recall(const execution_table& table, const begin_request& request) {
    switch (check(table.fence, request.attempt, request.expiry)) {
    case fence_state::refused:
        // NOTE: the verdict isn't not_run, since the first copy may have been refused by a gate that wasn't
        // the key's home.
        return refuse_with(begin_reason::repeated_attempt, core::verdict::may_have_run);
    case fence_state::stale:
        return refuse_with(begin_reason::stale_attempt, core::verdict::may_have_run);
    case fence_state::open:
        break;
    }
    const auto found = table.records.find(request.key.text);
    if (found == table.records.end()) {
        return {};
    }
    const execution_record& record = found->second;
    if (record.fingerprint != request.fingerprint) {
        return refuse_with(begin_reason::key_conflict, core::verdict::not_run);
    }
    if (record.state == record_state::ended) {
        return recall_end(record);
    }
    if (record.attempt == request.attempt) {
        return drop_copy();
    }
    return refuse_with(begin_reason::already_running, core::verdict::may_have_run);
}

begin_decision check_times(const execution_table& table, const begin_request& request, core::steady_time now,
                           core::wall_time wall_now) {
    // NOTE: the time left in a frame is wrong once the frame has waited in the buffers of a paused process,
    // and the record of an earlier copy may have been removed by now.
    if (request.expiry < wall_now - table.limits.clock_skew) {
        return refuse_with(begin_reason::held_up, core::verdict::may_have_run);
    }
    if (now >= request.deadline) {
        return refuse_with(begin_reason::deadline_passed, core::verdict::not_run);
    }
    if (!request.key.issued) {
        return {};
    }
    // NOTE: a key issued in the future could pass as one that no earlier home has received.
    if (*request.key.issued > wall_now + table.limits.clock_skew) {
        return refuse_with(begin_reason::invalid_date, core::verdict::not_run);
    }
    if (*request.key.issued < wall_now - table.limits.resend_window) {
        return refuse_with(begin_reason::key_too_old, core::verdict::may_have_run);
    }
    return {};
}

begin_decision open_record(execution_table& table, const begin_request& request) {
    if (table.records.size() >= table.limits.records) {
        return refuse_with(begin_reason::table_full, core::verdict::not_run);
    }
    execution_record record;
    record.fingerprint = request.fingerprint;
    record.attempt = request.attempt;
    record.deadline = request.deadline;
    record.expiry = request.expiry;
    record.is_of_attempt = request.key.kind == key_kind::attempt;
    table.records.emplace(request.key.text, std::move(record));
    return {};
}

bool mark_sent(execution_table& table, const std::string& key, core::steady_time now) {
    const auto found = table.records.find(key);
    if (found == table.records.end() || found->second.state != record_state::begun) {
        return false;
    }
    if (now >= found->second.deadline) {
        abandon(table, key);
        return false;
    }
    found->second.state = record_state::sent;
    return true;
}

void abandon(execution_table& table, const std::string& key) {
    refuse_record(table, key, record_state::begun);
}

void finish_ran(execution_table& table, const std::string& key, stored_answer answer, core::steady_time now) {
    end_record(table, key, core::verdict::ran, now);
    const std::size_t bytes = size_of(answer);
    const auto found = table.records.find(key);
    const bool is_small =
        bytes <= table.limits.largest_answer && table.answer_bytes + bytes <= table.limits.answer_bytes;
    if (found == table.records.end() || found->second.answer || !is_small) {
        return;
    }
    table.answer_bytes += bytes;
    found->second.answer = std::make_shared<const stored_answer>(std::move(answer));
}

void finish_without_answer(execution_table& table, const std::string& key, core::verdict verdict,
                           core::steady_time now) {
    end_record(table, key, verdict, now);
}

void finish_not_run(execution_table& table, const std::string& key) {
    refuse_record(table, key, record_state::sent);
}

void expire(execution_table& table, core::steady_time now, core::wall_time wall_now) {
    while (!table.ends.empty() && now - table.ends.front().first >= retention(table.limits)) {
        remove_record(table, table.ends.front().second);
        table.ends.pop_front();
    }
    expire_attempts(table, now, wall_now);
    expire(table.fence, wall_now, table.limits.clock_skew);
}

std::chrono::milliseconds retention(const execution_limits& limits) {
    return limits.resend_window + 2 * limits.clock_skew;
}

} // namespace monsoonlift::execution
