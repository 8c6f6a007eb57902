#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace monsoonlift::tools {

/// Latencies with a resolution of half a per cent, from 1 us to 1000 s.
class latency_record {
public:
    latency_record();
    latency_record(const latency_record&) = delete;
    latency_record& operator=(const latency_record&) = delete;
    latency_record(latency_record&&) noexcept;
    latency_record& operator=(latency_record&&) noexcept;
    ~latency_record();

    /// Counts one latency.
    void add(std::chrono::nanoseconds value);

    /// Adds all that `other` counted.
    void merge(const latency_record& other);

    /// The latency that `share` of all stayed under; zero if there are none.
    [[nodiscard]] std::chrono::nanoseconds quantile(double share) const;

    /// How many were counted.
    [[nodiscard]] std::uint64_t count() const;

private:
    struct storage;

    std::unique_ptr<storage> m_storage;
};

} // namespace monsoonlift::tools
