#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "gate/internal/gate_class.h"
#include "gate/internal/load_watch.h"
#include "logging/event_log.h"
#include "logging/event_throttle.h"
#include "metrics/metrics_registry.h"

#include <string>
#include <string_view>

namespace monsoonlift::gate::internal {

/// Counts of a gate's requests in one logging interval.
struct gate_interval {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;           ///< Refused by the shed level, the queue or the limit.
    std::uint64_t server_refused = 0; ///< Connection refused, refusal answered, or status 503 or 429.
    std::uint64_t failed = 0;  ///< Had a slot but got no answer, even if the backend server refused it.
    routing::load_report load; ///< Load at the end of the interval.
    /// Longest time by which a timer of the gate fired late: events wait as long for this process to run.
    std::chrono::nanoseconds largest_lag{0};
};

/// Logs the events of a gate, throttled so that none is written for every call. Thread-safe.
class gate_events {
public:
    gate_events(logging::event_log& log, const core::clock& clock, metrics::metrics_registry& registry);

    /// Logs changes of the gate's load.
    void load_changed(const load_changes& changes, const gate_classes& classes);

    /// Logs the counts of an interval, if requests were refused in it or the process was late.
    void counted(const gate_interval& interval);

    /// Logs that the entry cancelled a call, before or after the call got a slot.
    void cancelled(const gate_class& call_class, const core::attempt_id& attempt, std::string_view where);

    /// Counts and logs a refused late or duplicate copy of an attempt.
    void copy_refused(const core::attempt_id& attempt, std::string_view why);

    /// Logs that the backend server refused a connection.
    void connection_refused(const std::string& address, const std::string& failure);

    /// Logs that the backend server closed a connection before a complete answer.
    void backend_aborted(const gate_class& call_class, const core::attempt_id& attempt, std::string_view why);

    /// Logs that a frame of an unknown attempt was dropped.
    void unknown_frame(const core::attempt_id& attempt);

    /// Logs that the backend server sent an answer to another request.
    void mismatched_answer(const core::attempt_id& attempt);

private:
    void write(logging::event_id id, logging::event_throttle& throttle, const core::attempt_id& attempt,
               std::string_view class_name, std::string_view why);

    logging::event_log& m_log;
    metrics::counter& m_copies_refused;
    logging::event_throttle m_cancelled;
    logging::event_throttle m_copy_refused;
    logging::event_throttle m_connection_refused;
    logging::event_throttle m_backend_aborted;
    logging::event_throttle m_unknown_frame;
    logging::event_throttle m_mismatched_answer;
};

} // namespace monsoonlift::gate::internal
