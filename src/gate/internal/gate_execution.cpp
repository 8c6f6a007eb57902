// The part of gate_call that runs non-idempotent requests at most once and refuses requests suspected of
// crashing backend servers.
#include "gate/internal/gate_call.h"

#include <utility>

namespace monsoonlift::gate::internal {

using core::verdict;
using execution::begin_action;
using execution::begin_reason;
using transport::end_reason;

namespace {

/// Larger answers are not stored; the execution records don't keep them either.
constexpr std::size_t max_stored_answer_bytes = 16 * 1024;

execution::run_ending ending_of(const run_report& report) {
    if (report.broken) {
        return execution::run_ending::broken;
    }
    return report.answered ? execution::run_ending::answered : execution::run_ending::unclear;
}

end_reason reason_of(begin_reason reason) {
    switch (reason) {
    case begin_reason::key_conflict:
        return end_reason::key_conflict;
    case begin_reason::already_running:
    case begin_reason::outcome_unknown:
    case begin_reason::answer_not_kept:
    case begin_reason::seen_before:
        return end_reason::already_running;
    case begin_reason::held_up:
    case begin_reason::deadline_passed:
        return end_reason::deadline;
    case begin_reason::wrong_home:
        return end_reason::wrong_home;
    case begin_reason::home_unknown:
    case begin_reason::home_changing:
        return end_reason::home_unknown;
    case begin_reason::table_full:
        return end_reason::shed;
    default:
        return end_reason::refused_key;
    }
}

std::string describe(begin_reason reason) {
    switch (reason) {
    case begin_reason::key_conflict:
        return "the key belongs to a request with other content";
    case begin_reason::already_running:
        return "a request of the same key is running now; send it again later for its answer";
    case begin_reason::outcome_unknown:
        return "a request of the same key was sent and gave no whole answer";
    case begin_reason::answer_not_kept:
        return "a request of the same key ran, and its answer was too large to keep";
    case begin_reason::invalid_date:
        return "the key's time of issue lies in the future";
    case begin_reason::key_too_old:
        return "the key was issued before the time for which records are kept";
    case begin_reason::seen_before:
        return "an earlier home of the key may have run the request";
    case begin_reason::gate_gone:
        return "the permit's gate is gone";
    case begin_reason::wrong_home:
    case begin_reason::home_unknown:
    case begin_reason::home_changing:
        return "the home of the key can't be reached";
    case begin_reason::held_up:
    case begin_reason::deadline_passed:
        return "the deadline passed before the request could run";
    case begin_reason::table_full:
        return "too many records of non-idempotent requests are kept";
    default:
        return "the attempt was refused before and will not run";
    }
}

/// Whether the reason means that the attempt is a late or duplicate copy, regardless of its key.
bool is_copy(begin_reason reason) {
    switch (reason) {
    case begin_reason::repeated_attempt:
    case begin_reason::stale_attempt:
    case begin_reason::held_up:
        return true;
    default:
        return false;
    }
}

} // namespace

bool gate_call::check_crash_guard() {
    m_fingerprint = execution::make_fingerprint(
        {m_head.service, m_head.method, m_head.target, m_head.context.caller, m_head.body});
    const auto admitted = m_env.crashes.admit(m_fingerprint);
    if (admitted == execution::admittance::admitted) {
        m_admitted = true;
        return true;
    }
    refuse(end_reason::quarantined);
    return false;
}

bool gate_call::begin_execution() {
    if (m_head.context.idempotent) {
        return true;
    }
    const auto request = execution_request();
    if (!request) {
        refuse(end_reason::refused_key);
        return false;
    }
    m_key = request->key.text;
    const auto decision = m_env.ledger.begin(*request, m_head.homes_version);
    switch (decision.action) {
    case begin_action::run:
        m_execution_begun = true;
        m_env.decisions.key_admitted(decided(), "its record was opened");
        return true;
    case begin_action::replay:
        replay(*decision.answer);
        break;
    case begin_action::refuse:
        refuse_by_record(decision);
        break;
    case begin_action::drop:
        m_env.events.copy_refused(m_attempt, "the attempt is being served");
        m_env.decisions.key_admitted(decided(),
                                     "a copy of an attempt that is being served; it gets no answer");
        break;
    }
    end_execution();
    return false;
}

std::optional<execution::begin_request> gate_call::execution_request() const {
    execution::begin_request request;
    const auto& key = m_head.context.key;
    const auto parsed =
        key.empty() ? std::optional(execution::key_of_attempt(m_attempt)) : execution::parse_key(key);
    if (!parsed) {
        return std::nullopt;
    }
    request.key = *parsed;
    request.fingerprint = m_fingerprint;
    request.attempt = m_attempt;
    request.deadline = m_head.context.deadline;
    request.expiry = m_head.expires;
    return request;
}

void gate_call::refuse_by_record(const execution::begin_decision& decision) {
    transport::attempt_end end;
    end.run = decision.verdict;
    end.reason = reason_of(decision.reason);
    end.detail = describe(decision.reason);
    end.nested_attempts = 0;
    m_class.count_refusal(end.reason);
    if (is_copy(decision.reason)) {
        m_env.events.copy_refused(m_attempt, end.detail);
    }
    end.load = m_env.table.report();
    end.home = decision.home;
    end.homes_version = decision.homes_version;
    m_env.decisions.key_not_admitted(decided(), end);
    send(std::move(end));
}

void gate_call::replay(const execution::stored_answer& answer) {
    m_class.replayed.add();
    m_env.decisions.key_admitted(decided(), "it ran before and its stored answer is replayed");
    transport::response_head head;
    head.status = answer.status;
    head.reason = answer.reason;
    for (const auto& field : answer.headers) {
        head.headers.push_back({field.name, field.value});
    }
    head.body = answer.body;
    head.total = transfer::total_of(head.body);
    head.end.run = verdict::ran;
    head.end.nested_attempts = 0;
    head.end.load = m_env.table.report();
    send(std::move(head));
}

void gate_call::keep_answer(const transport::response_head& answer) {
    if (!m_execution_begun || answer.body.size() > max_stored_answer_bytes) {
        return;
    }
    execution::stored_answer stored;
    stored.status = answer.status;
    stored.reason = answer.reason;
    for (const auto& field : answer.headers) {
        stored.headers.push_back({field.name, field.value});
    }
    stored.body = answer.body;
    m_env.ledger.finish_ran(m_key, std::move(stored));
    m_execution_begun = false;
}

void gate_call::end_execution() {
    end_admission();
    end_record();
}

void gate_call::end_admission() {
    if (std::exchange(m_admitted, false)) {
        m_env.crashes.end(m_fingerprint, ending_of(m_report));
    }
}

void gate_call::end_record() {
    if (!std::exchange(m_execution_begun, false)) {
        return;
    }
    if (!m_sent) {
        m_env.ledger.abandon(m_key);
    } else if (m_end.run == verdict::not_run) {
        m_env.ledger.finish_not_run(m_key);
    } else {
        m_env.ledger.finish_without_answer(m_key, m_end.run);
    }
}

} // namespace monsoonlift::gate::internal
