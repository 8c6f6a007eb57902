#pragma once

#include "metrics/counter.h"
#include "metrics/metrics_registry.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::metrics {

/// Counters with the same name that differ in the value of one label. All values are known at construction,
/// so the number of counters is bounded and counting needs no lookup.
class counter_row {
public:
    /// Adds a counter for each value of the label `varying`; `labels` are the labels that all counters share,
    /// or empty.
    counter_row(metrics_registry& registry, const std::string& name, const std::string& help,
                const std::string& labels, std::string_view varying,
                std::span<const std::string_view> values);

    /// Returns the counter of the value at `position`.
    [[nodiscard]] counter& at(std::size_t position) const { return *m_counters.at(position); }

private:
    std::vector<counter*> m_counters;
};

} // namespace monsoonlift::metrics
