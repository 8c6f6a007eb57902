#pragma once

#include "metrics/counter.h"
#include "metrics/metrics_registry.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::metrics {

/// Counters of one name that differ in the value of one label. All values are known beforehand, so their
/// number is bounded and counting looks nothing up.
class counter_row {
public:
    /// Adds a counter for each value; `labels` are those that all of them have, or empty.
    counter_row(metrics_registry& registry, const std::string& name, const std::string& help,
                const std::string& labels, std::string_view varying,
                std::span<const std::string_view> values);

    /// The counter of the value at that position.
    [[nodiscard]] counter& at(std::size_t position) const { return *m_counters.at(position); }

private:
    std::vector<counter*> m_counters;
};

} // namespace monsoonlift::metrics
