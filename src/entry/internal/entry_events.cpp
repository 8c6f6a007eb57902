#include "entry/internal/entry_events.h"

#include "core/types/verdict.h"

namespace monsoonlift::entry::internal {

using core::verdict;
using logging::event_id;

namespace {

/// Most characters of a problem's detail in a log line, as details quote what the caller sent.
constexpr std::size_t max_quoted_length = 200;

bool is_about_head(const problem& trouble) {
    return trouble.status == 400 || trouble.status == 404 || trouble.status == 413;
}

std::string quoted(const std::string& detail) {
    return detail.substr(0, max_quoted_length);
}

} // namespace

entry_events::entry_events(logging::event_log& log, const core::clock& clock)
    : m_log(log), m_malformed(clock), m_answer_truncated(clock), m_unknown_frame(clock) {}

void entry_events::not_accepted(const std::string& why, std::uint64_t left_out) {
    m_log.write(event_id::callers_not_accepted, {{"why", why}, {"left_out", std::to_string(left_out)}});
}

void entry_events::malformed(const problem& trouble) {
    if (const auto left_out = m_malformed.take()) {
        m_log.write(event_id::request_malformed, {{"type", trouble.type},
                                                  {"detail", quoted(trouble.detail)},
                                                  {"left_out", std::to_string(*left_out)}});
    }
}

void entry_events::problem_sent(const event_subject& call, const problem& trouble) {
    if (trouble.run == verdict::may_have_run) {
        write(event_id::call_may_have_run, call.kind.may_have_run_event, call, "detail", trouble.detail);
    } else if (trouble.type == "shed") {
        write(event_id::calls_shed, call.kind.shed_event, call, "detail", trouble.detail);
    } else if (trouble.type == "no-backend-server") {
        write(event_id::service_unreachable, call.kind.unreachable_event, call, "detail", trouble.detail);
    } else if (is_about_head(trouble)) {
        malformed(trouble);
    }
}

void entry_events::budget_spent(const event_subject& call, spent_budget budget) {
    write(event_id::retry_budget_spent, call.kind.budget_event, call, "budget",
          budget == spent_budget::root_call ? "root_call" : "daemon");
}

void entry_events::answer_truncated(const event_subject& call, std::string_view why) {
    write(event_id::answer_cut_short, m_answer_truncated, call, "why", why);
}

void entry_events::unknown_frame(const core::attempt_id& attempt) {
    if (const auto left_out = m_unknown_frame.take()) {
        m_log.write(event_id::frame_of_unknown_attempt, {{"call", std::to_string(attempt.call)},
                                                         {"attempt", std::to_string(attempt.attempt)},
                                                         {"left_out", std::to_string(*left_out)}});
    }
}

void entry_events::write(event_id id, logging::event_throttle& throttle, const event_subject& call,
                         std::string_view name, std::string_view value) {
    if (const auto left_out = throttle.take()) {
        m_log.write(id, {{"class", call.kind.name()},
                         {"service", call.service},
                         {"root", core::to_string(call.root)},
                         {name, std::string(value)},
                         {"left_out", std::to_string(*left_out)}});
    }
}

} // namespace monsoonlift::entry::internal
