#pragma once

#include "metrics/class_table.h"
#include "metrics/counter_row.h"
#include "metrics/latency_histogram.h"
#include "metrics/metrics_registry.h"
#include "transport/types/frame.h"

#include <string>

namespace monsoonlift::gate::internal {

/// Metrics of the gate for one call class.
class gate_class {
public:
    gate_class(metrics::metrics_registry& registry, const std::string& class_name);

    [[nodiscard]] const std::string& name() const { return m_name; }

    /// Counts an attempt that never got a slot of the backend server.
    void count_refusal(transport::end_reason reason) const;

    /// Counts the end of an attempt that had a slot.
    void count_end(transport::end_reason reason) const;

    metrics::counter& admitted; ///< Attempts that got a slot.
    metrics::counter& replayed; ///< Attempts answered from the record of an earlier run.
    metrics::latency_histogram& service_time;

private:
    std::string m_name;
    metrics::counter_row m_refused;
    metrics::counter_row m_ended;
};

/// The call classes of one gate.
using gate_classes = metrics::class_table<gate_class>;

} // namespace monsoonlift::gate::internal
