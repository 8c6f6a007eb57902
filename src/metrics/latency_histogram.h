#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace monsoonlift::metrics {

/// Times on a logarithmic scale from 10 us to 100 s. Safe to use from any thread.
class latency_histogram {
public:
    /// Values up to `upper_bound_s` seconds, counted from the lowest bucket on.
    struct bucket {
        double upper_bound_s = 0;
        std::uint64_t cumulative_count = 0;
    };

    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    /// Counts one time.
    void record(std::chrono::nanoseconds value);

    /// Cumulative counts; the last bucket holds all values.
    [[nodiscard]] std::vector<bucket> buckets() const;

    /// Sum of all times.
    [[nodiscard]] std::chrono::nanoseconds sum() const;

private:
    struct storage;

    std::unique_ptr<storage> m_storage;
    std::atomic<std::int64_t> m_sum_ns{0};
};

} // namespace monsoonlift::metrics
