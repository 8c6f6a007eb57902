#include "metrics/counter_row.h"

namespace monsoonlift::metrics {

counter_row::counter_row(metrics_registry& registry, const std::string& name, const std::string& help,
                         const std::string& labels, std::string_view varying,
                         std::span<const std::string_view> values) {
    const std::string prefix = labels.empty() ? std::string() : labels + ",";
    m_counters.reserve(values.size());
    for (const auto value : values) {
        m_counters.push_back(&registry.add_counter(name, help, prefix + label(varying, value)));
    }
}

} // namespace monsoonlift::metrics
