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

/// How a call ended for its caller.
enum class call_outcome : std::uint8_t {
    answered,   ///< The backend server's answer was passed on whole.
    problem,    ///< A problem document was given instead.
    cut_short,  ///< The answer had begun and the connection was reset.
    caller_gone ///< Nobody was there any more.
};

/// Which budget did not allow another attempt.
enum class spent_budget : std::uint8_t { root_call, daemon };

/// What the entry counts for one call class, and which of its events were written a moment ago.
class call_class {
public:
    call_class(metrics::metrics_registry& registry, const core::clock& clock, const std::string& class_name);

    [[nodiscard]] const std::string& name() const { return m_name; }

    /// Counts a call that ended.
    void count_end(call_outcome how, core::verdict run) const;

    /// Counts a problem document by its reason.
    void count_problem(const problem& trouble) const;

    /// Counts another attempt that a budget did not allow.
    void count_withheld(spent_budget budget) const;

    metrics::counter& retries;
    metrics::latency_histogram& call_time; ///< From the request's head to the end of its answer.

    logging::event_throttle shed_event;
    logging::event_throttle unreachable_event;
    logging::event_throttle may_have_run_event;
    logging::event_throttle budget_event;

private:
    std::string m_name;
    std::vector<metrics::counter_row> m_ends; ///< By outcome; each row by verdict.
    metrics::counter_row m_problems;
    metrics::counter_row m_withheld;
};

/// The call classes of one entry.
using call_classes = metrics::class_table<call_class>;

} // namespace monsoonlift::entry::internal
