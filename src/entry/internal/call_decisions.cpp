#include "entry/internal/call_decisions.h"

#include "admission/shed_level_text.h"
#include "core/types/verdict.h"
#include "logging/number_text.h"

namespace monsoonlift::entry::internal {

using logging::event_id;
using logging::milliseconds_text;

namespace {

/// Most characters of a problem's detail in a log line, as details quote what the caller sent.
constexpr std::size_t max_quoted_length = 200;

std::string_view to_string(route_reason reason) {
    switch (reason) {
    case route_reason::load:
        return "load";
    case route_reason::home:
        return "home";
    case route_reason::permit:
        return "permit";
    }
    return "load";
}

std::string yes_or_no(bool value) {
    return value ? "yes" : "no";
}

std::string load_text(const routing::load_report& report) {
    return std::to_string(report.running) + " running, " + std::to_string(report.waiting) +
           " waiting, limit " + std::to_string(report.limit) + ", level " +
           admission::to_string(report.level);
}

} // namespace

std::string retry_text(std::chrono::nanoseconds delay) {
    return "retry in " + milliseconds_text(delay) + " ms";
}

call_decisions::call_decisions(logging::event_log& log, const core::clock& clock)
    : m_log(log), m_clock(clock) {}

void call_decisions::accepted(const decided_call& call, const parsed_call& parsed, std::uint64_t revision) {
    if (!m_log.wants(event_id::call_accepted)) {
        return;
    }
    const auto& context = parsed.context;
    m_log.write(event_id::call_accepted,
                {{"root", core::to_string(call.root)},
                 {"call", std::to_string(call.number)},
                 {"service", call.service},
                 {"class", call.class_name},
                 {"account", context.account},
                 {"depth", std::to_string(context.depth)},
                 {"idempotent", yes_or_no(context.idempotent)},
                 {"key", yes_or_no(!context.key.empty())},
                 {"time_left_ms", milliseconds_text(core::time_left(context, m_clock.now()))},
                 {"retries_left", std::to_string(context.attempts_left)},
                 {"revision", std::to_string(revision)}});
}

void call_decisions::sent(const decided_call& call, const sent_attempt& attempt) {
    if (!m_log.wants(event_id::attempt_sent)) {
        return;
    }
    const auto& evidence = attempt.evidence;
    const bool by_load = attempt.reason == route_reason::load;
    m_log.write(event_id::attempt_sent,
                {{"root", core::to_string(call.root)},
                 {"attempt", core::to_string(attempt.attempt)},
                 {"service", call.service},
                 {"gate", attempt.gate.address},
                 {"incarnation", std::to_string(attempt.gate.life.value)},
                 {"chosen_by", std::string(to_string(attempt.reason))},
                 {"usable", by_load ? std::to_string(evidence.usable) : ""},
                 {"local", by_load ? yes_or_no(evidence.is_local) : ""},
                 {"probe", by_load ? yes_or_no(evidence.is_probe) : ""},
                 {"load", by_load ? load_text(evidence.report) : ""},
                 {"load_age_ms", by_load ? milliseconds_text(evidence.report_age) : ""},
                 {"homes_version", std::to_string(attempt.homes_version)}});
}

void call_decisions::gate_asked(const decided_call& call, const core::attempt_id& attempt,
                                const core::endpoint_id& gate) {
    if (!m_log.wants(event_id::attempt_gate_asked)) {
        return;
    }
    m_log.write(event_id::attempt_gate_asked, {{"root", core::to_string(call.root)},
                                               {"attempt", core::to_string(attempt)},
                                               {"gate", gate.address}});
}

void call_decisions::attempt_answered(const decided_call& call, const ended_attempt& attempt) {
    if (!m_log.wants(event_id::attempt_answered)) {
        return;
    }
    m_log.write(event_id::attempt_answered, {{"root", core::to_string(call.root)},
                                             {"attempt", core::to_string(attempt.attempt)},
                                             {"gate", attempt.gate.address},
                                             {"took_ms", milliseconds_text(attempt.took)},
                                             {"service_ms", milliseconds_text(attempt.end.service_time)}});
}

void call_decisions::attempt_redirected(const decided_call& call, const ended_attempt& attempt) {
    if (!m_log.wants(event_id::attempt_redirected)) {
        return;
    }
    m_log.write(event_id::attempt_redirected,
                {{"root", core::to_string(call.root)},
                 {"attempt", core::to_string(attempt.attempt)},
                 {"gate", attempt.gate.address},
                 {"reason", std::string(transport::to_string(attempt.end.reason))},
                 {"home", attempt.end.home.address},
                 {"homes_version", std::to_string(attempt.end.homes_version)}});
}

void call_decisions::attempt_failed(const decided_call& call, const ended_attempt& attempt,
                                    std::string_view next) {
    if (!m_log.wants(event_id::attempt_failed)) {
        return;
    }
    m_log.write(event_id::attempt_failed, {{"root", core::to_string(call.root)},
                                           {"attempt", core::to_string(attempt.attempt)},
                                           {"service", call.service},
                                           {"gate", attempt.gate.address},
                                           {"reason", std::string(transport::to_string(attempt.end.reason))},
                                           {"verdict", std::string(core::to_string(attempt.end.run))},
                                           {"told_by", attempt.from_gate ? "gate" : "entry"},
                                           {"detail", attempt.end.detail},
                                           {"load", attempt.end.load ? load_text(*attempt.end.load) : ""},
                                           {"took_ms", milliseconds_text(attempt.took)},
                                           {"next", std::string(next)}});
}

void call_decisions::answered(const decided_call& call, const ended_call& end, unsigned status) {
    if (!m_log.wants(event_id::call_answered)) {
        return;
    }
    m_log.write(event_id::call_answered, {{"root", core::to_string(call.root)},
                                          {"call", std::to_string(call.number)},
                                          {"service", call.service},
                                          {"class", call.class_name},
                                          {"status", std::to_string(status)},
                                          {"attempts", std::to_string(end.attempts)},
                                          {"took_ms", milliseconds_text(end.took)}});
}

void call_decisions::refused(const decided_call& call, const ended_call& end, const problem& trouble,
                             const routing::route_evidence& evidence) {
    if (!m_log.wants(event_id::call_refused)) {
        return;
    }
    const auto retry_after = trouble.retry_after ? std::to_string(trouble.retry_after->count()) : "";
    m_log.write(event_id::call_refused, {{"root", core::to_string(call.root)},
                                         {"call", std::to_string(call.number)},
                                         {"service", call.service},
                                         {"class", call.class_name},
                                         {"status", std::to_string(trouble.status)},
                                         {"type", trouble.type},
                                         {"verdict", std::string(core::to_string(trouble.run))},
                                         {"detail", trouble.detail.substr(0, max_quoted_length)},
                                         {"attempts", std::to_string(end.attempts)},
                                         {"took_ms", milliseconds_text(end.took)},
                                         {"usable", std::to_string(evidence.usable)},
                                         {"level", admission::to_string(evidence.level)},
                                         {"retry_after_ms", retry_after}});
}

void call_decisions::abandoned(const decided_call& call, const ended_call& end, core::verdict run) {
    if (!m_log.wants(event_id::call_abandoned)) {
        return;
    }
    m_log.write(event_id::call_abandoned, {{"root", core::to_string(call.root)},
                                           {"call", std::to_string(call.number)},
                                           {"service", call.service},
                                           {"class", call.class_name},
                                           {"verdict", std::string(core::to_string(run))},
                                           {"attempts", std::to_string(end.attempts)},
                                           {"took_ms", milliseconds_text(end.took)}});
}

} // namespace monsoonlift::entry::internal
