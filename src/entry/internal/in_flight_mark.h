#pragma once

#include <atomic>
#include <cstdint>

namespace monsoonlift::entry::internal {

/// Counts a call as in flight as long as it lives.
class in_flight_mark {
public:
    explicit in_flight_mark(std::atomic<std::uint64_t>& count) : m_count(count) { ++m_count; }
    in_flight_mark(const in_flight_mark&) = delete;
    in_flight_mark& operator=(const in_flight_mark&) = delete;
    ~in_flight_mark() { --m_count; }

private:
    std::atomic<std::uint64_t>& m_count;
};

} // namespace monsoonlift::entry::internal
