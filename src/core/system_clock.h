#pragma once

#include "core/clock.h"

namespace monsoonlift::core {

/// Clock that returns the time of the operating system.
class system_clock final : public clock {
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] boot_time boot_now() const override;
    [[nodiscard]] wall_time wall_now() const override;
};

} // namespace monsoonlift::core
