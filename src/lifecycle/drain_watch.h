#pragma once

#include "core/clock.h"

#include <chrono>
#include <optional>

namespace monsoonlift::lifecycle {

/// Tells when a drain takes longer than operators planned for. Used on one strand.
class drain_watch {
public:
    explicit drain_watch(const core::clock& clock) : m_clock(clock) {}

    /// The drain begins and should take this long at most.
    void begin(std::chrono::milliseconds planned);

    /// True once, as soon as the planned time has passed.
    [[nodiscard]] bool has_run_over();

private:
    const core::clock& m_clock;
    std::optional<core::steady_time> m_until;
};

} // namespace monsoonlift::lifecycle
