#pragma once

#include "core/clock.h"
#include "tools/types/relay_options.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace monsoonlift::tools {

/// When each piece of one direction of a relayed connection comes out: never before an earlier piece.
class delay_line {
public:
    /// `seed` tells the directions and connections apart.
    delay_line(const relay_options& options, std::uint64_t seed);

    /// The time at which a piece that came in at `now` is to go out.
    [[nodiscard]] core::steady_time due(core::steady_time now);

private:
    relay_options m_options;
    std::mt19937_64 m_random;
    core::steady_time m_last;
};

} // namespace monsoonlift::tools
