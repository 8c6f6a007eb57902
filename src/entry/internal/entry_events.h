#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "entry/internal/call_class.h"
#include "entry/types/problem.h"
#include "logging/event_log.h"
#include "logging/event_throttle.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonlift::entry::internal {

/// Identifies the call that a log event is about.
struct event_subject {
    call_class& kind;
    const std::string& service; ///< Empty while the service is not known.
    core::root_id root;
};

/// Writes the log events of an entry, throttled so that none is written per call. Thread-safe.
class entry_events {
public:
    entry_events(logging::event_log& log, const core::clock& clock);

    /// Logs that a connection could not be accepted; `left_out` is the number of throttled events before it.
    void not_accepted(const std::string& why, std::uint64_t left_out);

    /// Logs that a request was refused as malformed, or because its service, call or route is not configured.
    void malformed(const problem& trouble);

    /// Logs the event for a problem that was sent to a caller, if there is one for its kind.
    void problem_sent(const event_subject& call, const problem& trouble);

    /// Logs that a call was not retried because a retry budget is spent.
    void budget_spent(const event_subject& call, spent_budget budget);

    /// Logs that an answer was truncated after it had begun.
    void answer_truncated(const event_subject& call, std::string_view why);

    /// Logs that a frame of an attempt not in progress, or from a gate incarnation not chosen for it, was
    /// dropped.
    void unknown_frame(const core::attempt_id& attempt);

private:
    void write(logging::event_id id, logging::event_throttle& throttle, const event_subject& call,
               std::string_view name, std::string_view value);

    logging::event_log& m_log;
    logging::event_throttle m_malformed;
    logging::event_throttle m_answer_truncated;
    logging::event_throttle m_unknown_frame;
};

} // namespace monsoonlift::entry::internal
