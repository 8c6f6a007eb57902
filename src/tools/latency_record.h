#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace monsoonlift::tools {

/// Histogram of latencies from 1 us to 1000 s with a resolution of 0.5%.
class latency_record {
public:
    latency_record();
    latency_record(const latency_record&) = delete;
    latency_record& operator=(const latency_record&) = delete;
    latency_record(latency_record&&) noexcept;
    latency_record& operator=(latency_record&&) noexcept;
    ~latency_record();

    /// Adds one latency.
    void add(std::chrono::nanoseconds value);

    /// Adds all latencies of `other`.
    void merge(const latency_record& other);

    /// Returns the latency that the given share (0 to 1) of all latencies stayed under; zero if there are
    /// none.
    [[nodiscard]] std::chrono::nanoseconds quantile(double share) const;

    /// Number of latencies added.
    [[nodiscard]] std::uint64_t count() const;

private:
    struct storage;

    std::unique_ptr<storage> m_storage;
};

} // namespace monsoonlift::tools
