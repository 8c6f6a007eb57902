#pragma once

#include "core/clock.h"

#include <chrono>

namespace monsoonlift::testing {

/// A clock that advances only when a test advances it; all times advance together, but for a suspension.
class manual_clock final : public core::clock {
public:
    [[nodiscard]] core::steady_time now() const override { return m_now; }
    [[nodiscard]] core::boot_time boot_now() const override { return m_boot; }
    [[nodiscard]] core::wall_time wall_now() const override { return m_wall; }

    /// Advances all times.
    void advance(std::chrono::nanoseconds step) {
        m_now += std::chrono::duration_cast<std::chrono::steady_clock::duration>(step);
        suspend(step);
    }

    /// Advances the times that go on while the VM is suspended.
    void suspend(std::chrono::nanoseconds step) {
        m_boot += step;
        m_wall += std::chrono::duration_cast<std::chrono::system_clock::duration>(step);
    }

private:
    core::steady_time m_now{std::chrono::hours(1)};
    core::boot_time m_boot{std::chrono::hours(2)};
    core::wall_time m_wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace monsoonlift::testing
