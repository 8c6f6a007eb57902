#pragma once

#include "core/clock.h"
#include "core/types/verdict.h"
#include "entry/types/problem.h"
#include "logging/event_throttle.h"
#include "metrics/class_table.h"
#include "metrics/counter_row.h"
#include "metrics/latency_histogram.h"
#include "metrics/metrics_registry.h"

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::entry::internal {

/// Outcome of a call from the caller's point of view.
enum class call_outcome : std::uint8_t {
    answered,   ///< The backend server's answer was forwarded completely.
    problem,    ///< A problem document was sent instead of an answer.
    cut_short,  ///< The answer had begun but was truncated by a connection reset, at the deadline or before.
    caller_gone ///< The caller disconnected before it had a complete answer.
};

/// The retry budget that was too low for another attempt.
enum class spent_budget : std::uint8_t { root_call, daemon };

/// Metrics of one call class at an entry, and the throttles of its log events.
class call_class {
public:
    call_class(metrics::metrics_registry& registry, const core::clock& clock, const std::string& class_name);

    [[nodiscard]] const std::string& name() const { return m_name; }

    /// Counts a finished call.
    void count_end(call_outcome how, core::verdict run) const;

    /// Counts a problem document sent to a caller, by its reason.
    void count_problem(const problem& trouble) const;

    /// Counts a retry that a budget did not allow.
    void count_withheld(spent_budget budget) const;

    metrics::counter& retries;
    metrics::latency_histogram& call_time; ///< From reading the request's head to the end of its answer.

    logging::event_throttle shed_event;
    logging::event_throttle unreachable_event;
    logging::event_throttle may_have_run_event;
    logging::event_throttle budget_event;

private:
    std::string m_name;
    std::vector<metrics::counter_row> m_ends; ///< One row per outcome, with one counter per verdict.
    metrics::counter_row m_problems;
    metrics::counter_row m_withheld;
};

/// The call classes of one entry.
using call_classes = metrics::class_table<call_class>;

} // namespace monsoonlift::entry::internal
