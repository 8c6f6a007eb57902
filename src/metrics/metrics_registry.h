/// Metrics of one process in the Prometheus text format.
#pragma once

#include "metrics/counter.h"
#include "metrics/latency_histogram.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::metrics {

/// Returns the label as name="value" in the Prometheus text format, with its value escaped.
[[nodiscard]] std::string label(std::string_view name, std::string_view value);

/// Owns all metrics. Metrics exist as long as the registry; adding the same name and labels again returns the
/// existing metric.
class metrics_registry {
public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    /// Adds a counter; `labels` is the text between the braces, such as `verdict="not_run"`.
    [[nodiscard]] counter& add_counter(const std::string& name, const std::string& help,
                                       const std::string& labels = "");

    /// Adds a gauge whose value `read` returns whenever the metrics are rendered; `read` must be safe to call
    /// from any thread. Adding the same gauge again keeps the first `read`.
    void add_gauge(const std::string& name, const std::string& help, const std::string& labels,
                   std::function<double()> read);

    /// Adds a counter for a total that is kept elsewhere and never decreases. `read` returns the total
    /// whenever the metrics are rendered; it must be safe to call from any thread. Adding the same total
    /// again keeps the first `read`.
    void add_total(const std::string& name, const std::string& help, const std::string& labels,
                   std::function<double()> read);

    /// Adds a histogram of times, rendered in seconds.
    [[nodiscard]] latency_histogram& add_latency(const std::string& name, const std::string& help,
                                                 const std::string& labels = "");

    /// Renders all metrics, sorted by name. Values are read without holding the registry's lock, so that no
    /// other lock is ever acquired while it is held.
    [[nodiscard]] std::string render() const;

private:
    struct entry;

    entry& find_or_add(const std::string& name, const std::string& help, const std::string& labels,
                       const std::string& kind);

    [[nodiscard]] std::vector<const entry*> snapshot() const;

    mutable std::mutex m_mutex;
    std::vector<std::unique_ptr<entry>> m_entries;
};

} // namespace monsoonlift::metrics
