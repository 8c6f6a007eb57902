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

/// The attempt that a decision is about.
struct decided_attempt {
    core::root_id root;
    const core::attempt_id& attempt;
    const std::string& service;
    const std::string& class_name;
};

/// Writes a line for each decision that a gate takes on an attempt, as far as the log has room. Thread-safe.
class attempt_decisions {
public:
    explicit attempt_decisions(logging::event_log& log);

    /// The attempt got a slot after waiting that long; `read_load` gives the load of the gate now, and is
    /// asked only if the line is written.
    void started(const decided_attempt& subject, std::chrono::nanoseconds waited,
                 const std::function<routing::load_report()>& read_load);

    /// The attempt never got a slot.
    void not_admitted(const decided_attempt& subject, std::chrono::nanoseconds waited,
                      const transport::attempt_end& end);

    /// The backend server answered whole.
    void ran(const decided_attempt& subject, std::chrono::nanoseconds service_time);

    /// The attempt had a slot and gave no whole answer; `sent` says whether the backend server may have it.
    void broken(const decided_attempt& subject, const transport::attempt_end& end, bool sent);

    /// The record of a non-idempotent request allows the attempt, or holds the answer to give again.
    void key_admitted(const decided_attempt& subject, std::string_view what);

    /// The record does not allow the attempt.
    void key_not_admitted(const decided_attempt& subject, const transport::attempt_end& end);

private:
    logging::event_log& m_log;
};

} // namespace monsoonlift::gate::internal
