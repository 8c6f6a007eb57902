#include "gate/internal/attempt_decisions.h"

#include "admission/shed_level_text.h"
#include "logging/number_text.h"

namespace monsoonlift::gate::internal {

using logging::event_id;
using logging::milliseconds_text;

namespace {

std::string number(std::uint32_t value) {
    return std::to_string(value);
}

} // namespace

attempt_decisions::attempt_decisions(logging::event_log& log) : m_log(log) {}

void attempt_decisions::started(const decided_attempt& subject, std::chrono::nanoseconds waited,
                                const std::function<routing::load_report()>& read_load) {
    if (!m_log.wants(event_id::attempt_started)) {
        return;
    }
    const auto load = read_load();
    m_log.write(event_id::attempt_started, {{"root", core::to_string(subject.root)},
                                            {"attempt", core::to_string(subject.attempt)},
                                            {"service", subject.service},
                                            {"class", subject.class_name},
                                            {"account", subject.account},
                                            {"waited_ms", milliseconds_text(waited)},
                                            {"running", number(load.running)},
                                            {"waiting", number(load.waiting)},
                                            {"limit", number(load.limit)}});
}

void attempt_decisions::not_admitted(const decided_attempt& subject, std::chrono::nanoseconds waited,
                                     const transport::attempt_end& end) {
    if (!m_log.wants(event_id::attempt_not_admitted)) {
        return;
    }
    const auto load = end.load.value_or(routing::load_report());
    m_log.write(event_id::attempt_not_admitted,
                {{"root", core::to_string(subject.root)},
                 {"attempt", core::to_string(subject.attempt)},
                 {"service", subject.service},
                 {"class", subject.class_name},
                 {"account", subject.account},
                 {"reason", std::string(transport::to_string(end.reason))},
                 {"verdict", std::string(core::to_string(end.run))},
                 {"detail", end.detail},
                 {"waited_ms", milliseconds_text(waited)},
                 {"running", number(load.running)},
                 {"waiting", number(load.waiting)},
                 {"limit", number(load.limit)},
                 {"level", admission::to_string(load.level)},
                 {"retry_after_ms", end.retry_after ? std::to_string(end.retry_after->count()) : ""}});
}

void attempt_decisions::ran(const decided_attempt& subject, std::chrono::nanoseconds service_time) {
    if (!m_log.wants(event_id::attempt_ran)) {
        return;
    }
    m_log.write(event_id::attempt_ran, {{"root", core::to_string(subject.root)},
                                        {"attempt", core::to_string(subject.attempt)},
                                        {"service_ms", milliseconds_text(service_time)}});
}

void attempt_decisions::broken(const decided_attempt& subject, const transport::attempt_end& end,
                               const sendings& made) {
    if (!m_log.wants(event_id::attempt_broken)) {
        return;
    }
    m_log.write(event_id::attempt_broken, {{"root", core::to_string(subject.root)},
                                           {"attempt", core::to_string(subject.attempt)},
                                           {"service", subject.service},
                                           {"class", subject.class_name},
                                           {"account", subject.account},
                                           {"reason", std::string(transport::to_string(end.reason))},
                                           {"verdict", std::string(core::to_string(end.run))},
                                           {"detail", end.detail},
                                           {"sent", made.any ? "yes" : "no"},
                                           {"resent", made.resent ? "yes" : "no"},
                                           {"service_ms", milliseconds_text(end.service_time)}});
}

void attempt_decisions::key_admitted(const decided_attempt& subject, std::string_view what) {
    if (!m_log.wants(event_id::key_admitted)) {
        return;
    }
    m_log.write(event_id::key_admitted, {{"root", core::to_string(subject.root)},
                                         {"attempt", core::to_string(subject.attempt)},
                                         {"service", subject.service},
                                         {"what", std::string(what)}});
}

void attempt_decisions::key_not_admitted(const decided_attempt& subject, const transport::attempt_end& end) {
    if (!m_log.wants(event_id::key_not_admitted)) {
        return;
    }
    m_log.write(event_id::key_not_admitted, {{"root", core::to_string(subject.root)},
                                             {"attempt", core::to_string(subject.attempt)},
                                             {"service", subject.service},
                                             {"reason", std::string(transport::to_string(end.reason))},
                                             {"verdict", std::string(core::to_string(end.run))},
                                             {"detail", end.detail},
                                             {"home", end.home.address},
                                             {"homes_version", std::to_string(end.homes_version)}});
}

} // namespace monsoonlift::gate::internal
