// The part of call_exchange that decides whether a call is retried.
#include "admission/shedding.h"
#include "entry/internal/attempt_problem.h"
#include "entry/internal/call_exchange.h"

namespace monsoonlift::entry::internal {

using core::verdict;
using transport::end_reason;

namespace {

/// Most attempts of one call that may end with backend_failed: a request that crashes servers must not crash
/// a third one before the crash reports of the first two have been combined.
constexpr std::uint32_t max_broken_attempts = 2;

/// Whether a retry would end for the same reason.
bool is_final(end_reason reason) {
    switch (reason) {
    case end_reason::cancelled:
    case end_reason::key_conflict:
    case end_reason::already_running:
    case end_reason::refused_key:
    case end_reason::quarantined:
        return true;
    default:
        return false;
    }
}

/// Whether the backend server may have received the request. The other reasons come from its daemon, before
/// the request is forwarded, unless the verdict says otherwise.
bool may_have_arrived(const transport::attempt_end& end) {
    if (end.run != verdict::not_run) {
        return true;
    }
    switch (end.reason) {
    case end_reason::shed:
    case end_reason::draining:
    case end_reason::no_backend:
    case end_reason::wrong_service:
    case end_reason::quarantined:
        return false;
    default:
        return true;
    }
}

} // namespace

boost::asio::awaitable<bool> call_exchange::wait_for_next(const attempt_outcome& outcome) {
    if (is_about_home(outcome.end.reason)) {
        m_shared.decisions.attempt_redirected(decided(), ended(outcome));
        co_return co_await follow_redirect(outcome);
    }
    const auto choice = choose_retry(outcome);
    const auto next = choice.delay ? retry_text(*choice.delay) : "none: " + std::string(choice.why_not);
    m_shared.decisions.attempt_failed(decided(), ended(outcome), next);
    if (!choice.delay) {
        co_return false;
    }
    co_return co_await pause(*choice.delay);
}

call_exchange::retry_choice call_exchange::choose_retry(const attempt_outcome& outcome) {
    if (is_refused_below(outcome.end)) {
        return {std::nullopt, "a service further down refuses it"};
    }
    const auto reason_against = reason_against_retry(outcome.end);
    if (!reason_against.empty()) {
        return {std::nullopt, reason_against};
    }
    // NOTE: a call bound to the home of its key is resent to the same gate, so each resend is charged to the
    // budgets even if the gate refused it.
    const bool counts_as_reached = may_have_arrived(outcome.end) || is_bound_to_home();
    const retry::attempt_outcome ended{outcome.end.run, m_attempts - 1, outcome.end.service_time,
                                       outcome.end.retry_after, counts_as_reached};
    const bool is_leaf = m_call.parent && counts_as_reached && outcome.end.run == verdict::not_run &&
                         !is_bound_to_home() && m_shared.routes.is_leaf(m_call.kind);
    const auto now = m_shared.clock.now();
    const auto delay = is_leaf ? m_shared.routes.next_leaf_attempt(m_call.context, ended, budgeted(), now)
                               : m_shared.routes.next_attempt(m_call.context, ended, budgeted(), now);
    if (!delay) {
        return {std::nullopt, note_withheld(outcome.end.run, counts_as_reached, is_leaf)};
    }
    m_spent_retries += counts_as_reached && !is_leaf ? 1 : 0;
    ++m_shared.retries;
    m_class->retries.add();
    m_shared.counts.count(m_call.service, attempt_outcome_kind::retried);
    return {delay, {}};
}

bool call_exchange::is_refused_below(const transport::attempt_end& end) const {
    return m_shared.options.whole_chains && end.reason == end_reason::shed &&
           !admission::continues_chain(m_call.context) &&
           !routing::chain_admits(end.nested_level, m_call.context);
}

std::string_view call_exchange::reason_against_retry(const transport::attempt_end& end) {
    const auto reason = end.reason;
    m_broken_attempts += reason == end_reason::backend_failed ? 1 : 0;
    m_arrivals += may_have_arrived(end) ? 1 : 0;
    if (m_call.attempts && m_arrivals >= *m_call.attempts) {
        return "the attempts that the route allows are spent";
    }
    if (!m_replayable) {
        return "the request body is no longer buffered";
    }
    if (m_caller_gone) {
        return "the caller went away";
    }
    if (m_shared.refuses_all()) {
        return "this daemon is about to stop";
    }
    if (m_shared.clock.now() >= m_call.context.deadline) {
        return "the deadline has passed";
    }
    if (m_broken_attempts >= max_broken_attempts) {
        return "the request may crash backend servers";
    }
    if (is_final(reason)) {
        return "another attempt would end the same way";
    }
    // NOTE: only the home of a key may run its request, so that gate is tried again.
    if (!is_bound_to_home() &&
        !m_shared.routes.has_untried({m_call.service, m_call.context, m_call.kind, m_tried})) {
        return "every backend server was tried";
    }
    return {};
}

std::string_view call_exchange::note_withheld(verdict run, bool reached_server, bool is_leaf) {
    const bool repeatable =
        run == verdict::not_run || (run == verdict::may_have_run && m_call.context.idempotent);
    if (!repeatable) {
        return "it ran or may have run";
    }
    const bool call_spent = !is_leaf && reached_server && m_call.context.attempts_left == 0;
    const bool daemon_may_retry =
        is_leaf ? m_shared.routes.may_retry_leaf(budgeted()) : m_shared.routes.may_retry(reached_server);
    if (!m_shared.options.decisions_on || (!call_spent && daemon_may_retry)) {
        return "too little time is left";
    }
    const auto budget = call_spent ? spent_budget::root_call : spent_budget::daemon;
    m_class->count_withheld(budget);
    m_shared.counts.count(m_call.service, call_spent ? attempt_outcome_kind::withheld_call
                                                     : attempt_outcome_kind::withheld_daemon);
    m_shared.events.budget_spent(subject(), budget);
    return call_spent ? "the budget of the root call is spent" : "the retry budget of the daemon is spent";
}

} // namespace monsoonlift::entry::internal
