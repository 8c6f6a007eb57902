#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace monsoonlift::metrics {

/// Histogram of times on a logarithmic scale from 10 us to 100 s. Safe to use from any thread.
class latency_histogram {
public:
    /// Count of all values up to `upper_bound_s` seconds, including those of lower buckets.
    struct bucket {
        double upper_bound_s = 0;
        std::uint64_t cumulative_count = 0;
    };

    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    /// Adds one time to the histogram.
    void record(std::chrono::nanoseconds value);

    /// Returns cumulative counts by upper bound; the last bucket is unbounded and counts all values.
    [[nodiscard]] std::vector<bucket> buckets() const;

    /// Returns the sum of all recorded times.
    [[nodiscard]] std::chrono::nanoseconds sum() const;

private:
    struct storage;

    std::unique_ptr<storage> m_storage;
    std::atomic<std::int64_t> m_sum_ns{0};
};

} // namespace monsoonlift::metrics
