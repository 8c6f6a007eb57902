#pragma once

#include "core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>

namespace monsoonlift::logging {

/// Lets the first event of each window through and counts those that are left out, so that a surge doesn't
/// write a line for each call. Thread-safe without a lock.
class event_throttle {
public:
    static constexpr std::chrono::seconds usual_window{10};

    explicit event_throttle(const core::clock& clock, std::chrono::nanoseconds window = usual_window)
        : m_clock(clock), m_window(window) {}

    /// How many events were left out since the last one that was written, if this one is to be written;
    /// otherwise nothing, and this one is counted as left out.
    [[nodiscard]] std::optional<std::uint64_t> take();

private:
    using ticks = core::steady_time::rep;

    const core::clock& m_clock;
    const std::chrono::nanoseconds m_window;
    std::atomic<ticks> m_closed_until{core::steady_time::min().time_since_epoch().count()};
    std::atomic<std::uint64_t> m_left_out{0};
};

} // namespace monsoonlift::logging
