#pragma once

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace monsoonlift::lifecycle {

/// Detects that a drain takes longer than the operators planned. Not thread-safe; used on one strand.
class drain_watch {
public:
    explicit drain_watch(const core::clock& clock) : m_clock(clock) {}

    /// Records that the drain begins; it is planned to take at most `planned`.
    void begin(std::chrono::milliseconds planned);

    /// Returns true exactly once, at the first call after the planned time has passed.
    [[nodiscard]] bool is_overdue();

private:
    const core::clock& m_clock;
    std::optional<core::steady_time> m_until;
};

} // namespace monsoonlift::lifecycle
