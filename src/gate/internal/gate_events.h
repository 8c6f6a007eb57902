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

/// What became of a gate's requests since its last look at them.
struct gate_interval {
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t shed = 0;           ///< By the threshold, the queue or the limit.
    std::uint64_t server_refused = 0; ///< The backend server said that it did not run them.
    std::uint64_t failed = 0;         ///< Ended without an answer, those before included.
    routing::load_report load;        ///< At its end.
};

/// The events of a gate, none of them a line for each call. Thread-safe.
class gate_events {
public:
    gate_events(logging::event_log& log, const core::clock& clock, metrics::metrics_registry& registry);

    /// What a look at the gate's load brought.
    void load_changed(const load_news& news, const gate_classes& classes);

    /// Tells of an interval in which requests were refused.
    void counted(const gate_interval& interval);

    /// A call was given up by its entry, before or after it got a slot.
    void cancelled(const gate_class& kind, const core::attempt_id& attempt, std::string_view where);

    /// A late or second copy of an attempt was refused.
    void copy_refused(const core::attempt_id& attempt, std::string_view why);

    /// The backend server refused a connection.
    void connection_refused(const std::string& address, const std::string& failure);

    /// The backend server closed a connection without a whole answer.
    void broke_off(const gate_class& kind, const core::attempt_id& attempt, std::string_view why);

    /// A frame of an attempt that is not here was dropped.
    void unknown_frame(const core::attempt_id& attempt);

    /// The backend server sent an answer of another request.
    void crossed_answer(const core::attempt_id& attempt);

private:
    void write(logging::event_id id, logging::event_throttle& throttle, const core::attempt_id& attempt,
               std::string_view class_name, std::string_view why);

    logging::event_log& m_log;
    metrics::counter& m_copies_refused;
    logging::event_throttle m_cancelled;
    logging::event_throttle m_copy_refused;
    logging::event_throttle m_connection_refused;
    logging::event_throttle m_broke_off;
    logging::event_throttle m_unknown_frame;
    logging::event_throttle m_crossed_answer;
};

} // namespace monsoonlift::gate::internal
