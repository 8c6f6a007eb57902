#include "gate/internal/gate_class.h"

#include <algorithm>
#include <array>
#include <span>

namespace monsoonlift::gate::internal {

using transport::end_reason;

namespace {

constexpr auto refusal_reasons = std::to_array<end_reason>(
    {end_reason::shed, end_reason::draining, end_reason::no_backend, end_reason::deadline,
     end_reason::cancelled, end_reason::body_damaged, end_reason::key_conflict, end_reason::already_running,
     end_reason::wrong_service, end_reason::wrong_home, end_reason::home_unknown, end_reason::refused_key,
     end_reason::quarantined});

constexpr auto run_reasons = std::to_array<end_reason>(
    {end_reason::answered, end_reason::no_backend, end_reason::deadline, end_reason::cancelled,
     end_reason::backend_failed, end_reason::backend_refused, end_reason::body_damaged});

/// Returns the label values of the reasons, followed by "other" for all remaining reasons.
std::vector<std::string_view> names_of(std::span<const end_reason> reasons) {
    std::vector<std::string_view> names;
    names.reserve(reasons.size() + 1);
    for (const auto each : reasons) {
        names.push_back(transport::to_string(each));
    }
    names.emplace_back("other");
    return names;
}

std::size_t position_of(std::span<const end_reason> reasons, end_reason reason) {
    return static_cast<std::size_t>(std::find(reasons.begin(), reasons.end(), reason) - reasons.begin());
}

std::string label_of(const std::string& class_name) {
    return metrics::label("class", class_name);
}

} // namespace

gate_class::gate_class(metrics::metrics_registry& registry, const std::string& class_name)
    : admitted(registry.add_counter("monsoonlift_gate_admitted_total",
                                    "Attempts that got a slot of the backend server.", label_of(class_name))),
      replayed(registry.add_counter("monsoonlift_gate_replayed_total",
                                    "Attempts answered from the record of an earlier run.",
                                    label_of(class_name))),
      service_time(registry.add_latency("monsoonlift_gate_service_seconds",
                                        "Time until the backend server began its answer, in seconds.",
                                        label_of(class_name))),
      m_name(class_name), m_refused(registry, "monsoonlift_gate_refused_total",
                                    "Attempts that never got a slot of the backend server, by reason.",
                                    label_of(class_name), "reason", names_of(refusal_reasons)),
      m_ended(registry, "monsoonlift_gate_ended_total",
              "Attempts that had a slot of the backend server, by how they ended.", label_of(class_name),
              "reason", names_of(run_reasons)) {}

void gate_class::count_refusal(end_reason reason) const {
    m_refused.at(position_of(refusal_reasons, reason)).add();
}

void gate_class::count_end(end_reason reason) const {
    m_ended.at(position_of(run_reasons, reason)).add();
}

} // namespace monsoonlift::gate::internal
