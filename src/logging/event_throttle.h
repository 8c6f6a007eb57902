#pragma once

#include "core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace monsoonlift::logging {

/// Rate limiter that admits the first event of each window and counts the events dropped after it, so that a
/// surge of calls does not write a line for each. Thread-safe without a lock.
class event_throttle {
public:
    static constexpr std::chrono::seconds usual_window{10};

    explicit event_throttle(const core::clock& clock, std::chrono::nanoseconds window = usual_window)
        : m_clock(clock), m_window(window) {}

    /// If this event should be written, returns how many were dropped since the last one written. Otherwise
    /// counts this event as dropped and returns nothing.
    [[nodiscard]] std::optional<std::uint64_t> take();

private:
    using ticks = core::steady_time::rep;

    const core::clock& m_clock;
    const std::chrono::nanoseconds m_window;
    std::atomic<ticks> m_closed_until{core::steady_time::min().time_since_epoch().count()};
    std::atomic<std::uint64_t> m_left_out{0};
};

} // namespace monsoonlift::logging
