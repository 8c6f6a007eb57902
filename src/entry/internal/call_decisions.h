#pragma once

#include "core/clock.h"
#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "logging/event_log.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

namespace monsoonlift::entry::internal {

/// Identifies the call in log lines about decisions.
struct decided_call {
    core::root_id root;
    std::uint64_t number = 0; ///< Number of the call within this entry.
    const std::string& service;
    const std::string& class_name;
};

/// How the gate of an attempt was chosen.
enum class route_reason : std::uint8_t {
    load,  ///< Chosen by the reported load of the endpoints.
    home,  ///< Chosen because it is the home of the caller's key.
    permit ///< Chosen because the permit names it.
};

/// An attempt that was sent and the data on which the choice of its gate was based.
struct sent_attempt {
    const core::attempt_id& attempt;
    const core::endpoint_id& gate;
    route_reason reason = route_reason::load;
    routing::route_evidence evidence; ///< Empty unless the gate was chosen by load.
    std::uint64_t homes_version = 0;  ///< Version of the home table that the entry used; 0 if none.
};

/// How an attempt ended.
struct ended_attempt {
    const core::attempt_id& attempt;
    const core::endpoint_id& gate;
    const transport::attempt_end& end;
    bool from_gate = false; ///< The gate reported the end; otherwise this entry inferred it.
    std::chrono::nanoseconds took{0};
};

/// Totals of a finished call.
struct ended_call {
    std::uint32_t attempts = 0; ///< Attempts at all hops, nested calls included.
    std::chrono::nanoseconds took{0};
};

/// Logs each decision that an entry makes about a call, unless the log's rate limit is reached. Thread-safe.
class call_decisions {
public:
    call_decisions(logging::event_log& log, const core::clock& clock);

    /// Logs that the call's head was accepted under this revision of the configuration.
    void accepted(const decided_call& call, const parsed_call& parsed, std::uint64_t revision);

    void sent(const decided_call& call, const sent_attempt& attempt);

    /// Logs that the gate was asked about the attempt, as membership doubts that it is there.
    void gate_asked(const decided_call& call, const core::attempt_id& attempt, const core::endpoint_id& gate);

    /// Logs that the attempt's answer was forwarded completely.
    void attempt_answered(const decided_call& call, const ended_attempt& attempt);

    /// Logs that the gate refused the attempt because it is not, or doesn't know, the home of the key.
    void attempt_redirected(const decided_call& call, const ended_attempt& attempt);

    /// `next` is the action that follows, such as "retry in 12 ms" or "none: the caller went away".
    void attempt_failed(const decided_call& call, const ended_attempt& attempt, std::string_view next);

    /// Logs that the caller received a backend server's answer.
    void answered(const decided_call& call, const ended_call& end, unsigned status);

    /// Logs that the caller received a problem document; `evidence` is that of the last choice of an
    /// endpoint.
    void refused(const decided_call& call, const ended_call& end, const problem& trouble,
                 const routing::route_evidence& evidence);

    /// Logs that the caller disconnected before it had a complete answer.
    void abandoned(const decided_call& call, const ended_call& end, core::verdict run);

private:
    logging::event_log& m_log;
    const core::clock& m_clock;
};

/// Formats the text "retry in 12.000 ms" for a log field.
[[nodiscard]] std::string retry_text(std::chrono::nanoseconds delay);

} // namespace monsoonlift::entry::internal
