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

/// One label as it stands between braces, with its value escaped.
[[nodiscard]] std::string label(std::string_view name, std::string_view value);

/// Owner of all metrics. Metrics live as long as the registry; adding the same name and labels gives the same
/// one.
class metrics_registry {
public:
    metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;
    ~metrics_registry();

    /// A counter; `labels` is written as it stands between braces, such as `verdict="not_run"`.
    [[nodiscard]] counter& add_counter(const std::string& name, const std::string& help,
                                       const std::string& labels = "");

    /// A value read whenever metrics are asked for; `read` must be safe to call from any thread. Adding the
    /// same one again leaves the first.
    void add_gauge(const std::string& name, const std::string& help, const std::string& labels,
                   std::function<double()> read);

    /// A total kept elsewhere that only rises, read whenever metrics are asked for; `read` must be safe to
    /// call from any thread. Adding the same one again leaves the first.
    void add_total(const std::string& name, const std::string& help, const std::string& labels,
                   std::function<double()> read);

    /// A histogram of times in seconds.
    [[nodiscard]] latency_histogram& add_latency(const std::string& name, const std::string& help,
                                                 const std::string& labels = "");

    /// All metrics, in the order of their names. Values are read without the lock, so that the lock stays a
    /// leaf.
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
