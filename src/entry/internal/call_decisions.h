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

/// The call that a decision is about.
struct decided_call {
    core::root_id root;
    std::uint64_t number = 0; ///< Of this entry.
    const std::string& service;
    const std::string& class_name;
};

/// How the gate of an attempt was chosen.
enum class route_reason : std::uint8_t {
    load,  ///< By what is known of the endpoints' load.
    home,  ///< It is the home of the caller's key.
    permit ///< The permit names it.
};

/// A sending of a call and what it rested on.
struct sent_attempt {
    const core::attempt_id& attempt;
    const core::endpoint_id& gate;
    route_reason reason = route_reason::load;
    routing::route_evidence evidence; ///< Empty unless chosen by load.
    std::uint64_t homes_version = 0;  ///< Version of the table of homes that the entry used.
};

/// How an attempt ended and what follows from it.
struct ended_attempt {
    const core::attempt_id& attempt;
    const core::endpoint_id& gate;
    const transport::attempt_end& end;
    bool from_gate = false; ///< The gate said so; otherwise it is this entry's own view.
    std::chrono::nanoseconds took{0};
};

/// What a call came to.
struct ended_call {
    std::uint32_t attempts = 0; ///< At all hops.
    std::chrono::nanoseconds took{0};
};

/// Writes a line for each decision that an entry takes on a call, as far as the log has room. Thread-safe.
class call_decisions {
public:
    call_decisions(logging::event_log& log, const core::clock& clock);

    /// The call's head was understood under that revision of the configuration.
    void accepted(const decided_call& call, const parsed_call& parsed, std::uint64_t revision);

    void sent(const decided_call& call, const sent_attempt& attempt);

    /// The answer was passed on whole.
    void attempt_answered(const decided_call& call, const ended_attempt& attempt);

    /// The gate asked is not the home of the key.
    void attempt_redirected(const decided_call& call, const ended_attempt& attempt);

    /// `next` says what happens now, such as "retry in 12 ms" or "no retry: the call's budget is spent".
    void attempt_failed(const decided_call& call, const ended_attempt& attempt, std::string_view next);

    /// The caller has a backend server's answer.
    void answered(const decided_call& call, const ended_call& end, unsigned status);

    /// The caller was given a problem document; `evidence` is of the last choice of an endpoint.
    void refused(const decided_call& call, const ended_call& end, const problem& trouble,
                 const routing::route_evidence& evidence);

    /// The caller went away.
    void abandoned(const decided_call& call, const ended_call& end, core::verdict run);

private:
    logging::event_log& m_log;
    const core::clock& m_clock;
};

/// "retry in 12 ms"
[[nodiscard]] std::string retry_text(std::chrono::nanoseconds delay);

} // namespace monsoonlift::entry::internal
