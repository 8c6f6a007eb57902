#include "gate/internal/gate_events.h"

#include "admission/shed_level_text.h"
#include "logging/number_text.h"

namespace monsoonlift::gate::internal {

using logging::event_id;

namespace {

using namespace std::chrono_literals;

/// A process that runs later than this makes calls late.
constexpr std::chrono::milliseconds notable_lag = 100ms;

std::string seconds_text(std::chrono::nanoseconds time) {
    return std::to_string(std::chrono::duration_cast<std::chrono::seconds>(time).count());
}

} // namespace

gate_events::gate_events(logging::event_log& log, const core::clock& clock,
                         metrics::metrics_registry& registry)
    : m_log(log), m_copies_refused(registry.add_counter("monsoonlift_gate_copies_refused_total",
                                                        "Late or second copies of an attempt refused.")),
      m_cancelled(clock), m_copy_refused(clock), m_connection_refused(clock), m_backend_aborted(clock),
      m_unknown_frame(clock), m_mismatched_answer(clock) {}

void gate_events::load_changed(const load_changes& changes, const gate_classes& classes) {
    if (changes.overload_started) {
        m_log.write(event_id::overload_started,
                    {{"refuses_from_class", classes.of(changes.overload_started->rank).name()},
                     {"bucket", std::to_string(changes.overload_started->bucket)}});
    }
    if (changes.overload_lasted) {
        m_log.write(event_id::overload_ended, {{"seconds", seconds_text(*changes.overload_lasted)}});
    }
    if (changes.threshold) {
        m_log.write(event_id::threshold_moved,
                    {{"from_class", classes.of(changes.threshold->from.rank).name()},
                     {"to_class", classes.of(changes.threshold->to.rank).name()}});
    }
    if (changes.limit) {
        m_log.write(event_id::limit_changed, {{"from", std::to_string(changes.limit->from)},
                                              {"to", std::to_string(changes.limit->to)}});
    }
}

void gate_events::counted(const gate_interval& interval) {
    const bool was_late = interval.largest_lag >= notable_lag;
    if (interval.shed + interval.server_refused == 0 && !was_late) {
        return;
    }
    m_log.write(event_id::gate_counted, {{"arrived", std::to_string(interval.arrived)},
                                         {"answered", std::to_string(interval.answered)},
                                         {"shed", std::to_string(interval.shed)},
                                         {"server_refused", std::to_string(interval.server_refused)},
                                         {"failed", std::to_string(interval.failed)},
                                         {"running", std::to_string(interval.load.running)},
                                         {"waiting", std::to_string(interval.load.waiting)},
                                         {"limit", std::to_string(interval.load.limit)},
                                         {"level", admission::to_string(interval.load.level)},
                                         {"lag_ms", logging::milliseconds_text(interval.largest_lag)}});
}

void gate_events::cancelled(const gate_class& call_class, const core::attempt_id& attempt,
                            std::string_view where) {
    write(event_id::call_cancelled, m_cancelled, attempt, call_class.name(), where);
}

void gate_events::copy_refused(const core::attempt_id& attempt, std::string_view why) {
    m_copies_refused.add();
    write(event_id::attempt_refused, m_copy_refused, attempt, {}, why);
}

void gate_events::connection_refused(const std::string& address, const std::string& failure) {
    if (const auto left_out = m_connection_refused.take()) {
        m_log.write(event_id::backend_refused_connection,
                    {{"address", address}, {"why", failure}, {"left_out", std::to_string(*left_out)}});
    }
}

void gate_events::backend_aborted(const gate_class& call_class, const core::attempt_id& attempt,
                                  std::string_view why) {
    write(event_id::backend_broke_off, m_backend_aborted, attempt, call_class.name(), why);
}

void gate_events::unknown_frame(const core::attempt_id& attempt) {
    write(event_id::frame_of_unknown_attempt, m_unknown_frame, attempt, {},
          "no such attempt is in progress at this gate");
}

void gate_events::mismatched_answer(const core::attempt_id& attempt) {
    write(event_id::answer_crossed, m_mismatched_answer, attempt, {},
          "its request identifier is that of another request");
}

void gate_events::write(event_id id, logging::event_throttle& throttle, const core::attempt_id& attempt,
                        std::string_view class_name, std::string_view why) {
    if (const auto left_out = throttle.take()) {
        m_log.write(id, {{"class", std::string(class_name)},
                         {"entry", std::to_string(attempt.origin.value)},
                         {"call", std::to_string(attempt.call)},
                         {"attempt", std::to_string(attempt.attempt)},
                         {"why", std::string(why)},
                         {"left_out", std::to_string(*left_out)}});
    }
}

} // namespace monsoonlift::gate::internal
