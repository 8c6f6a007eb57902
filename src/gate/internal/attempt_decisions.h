#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "core/types/verdict.h"
#include "logging/event_log.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace monsoonlift::gate::internal {

/// The attempt to which a logged decision applies.
struct decided_attempt {
    core::root_id root;
    const core::attempt_id& attempt;
    const std::string& service;
    const std::string& class_name;
    const std::string& account;
};

/// What was sent of a request to the backend server.
struct sendings {
    bool any = false;    ///< The backend server may have received the request.
    bool resent = false; ///< A sending was lost on an idle connection, and another one followed or was tried.
};

/// Logs each decision of a gate on an attempt, within the log's rate limit. Thread-safe.
class attempt_decisions {
public:
    explicit attempt_decisions(logging::event_log& log);

    /// Logs that the attempt got a slot after waiting for `waited`. `read_load` returns the gate's current
    /// load and is called only if the line is written.
    void started(const decided_attempt& subject, std::chrono::nanoseconds waited,
                 const std::function<routing::load_report()>& read_load);

    /// Logs that the attempt was refused a slot.
    void not_admitted(const decided_attempt& subject, std::chrono::nanoseconds waited,
                      const transport::attempt_end& end);

    /// Logs that the backend server sent a complete answer.
    void ran(const decided_attempt& subject, std::chrono::nanoseconds service_time);

    /// Logs that the attempt had a slot but ended without a complete answer.
    void broken(const decided_attempt& subject, const transport::attempt_end& end, const sendings& made);

    /// Logs how the record of a non-idempotent request allowed the attempt or replayed the stored answer.
    void key_admitted(const decided_attempt& subject, std::string_view what);

    /// Logs that the record of a non-idempotent request does not allow the attempt.
    void key_not_admitted(const decided_attempt& subject, const transport::attempt_end& end);

private:
    logging::event_log& m_log;
};

} // namespace monsoonlift::gate::internal
