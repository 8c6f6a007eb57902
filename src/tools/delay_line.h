#pragma once

#include "core/clock.h"
#include "tools/types/relay_options.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace monsoonlift::tools {

/// Computes when the pieces of data in one direction of a relayed connection are forwarded, in their order.
class delay_line {
public:
    /// `seed` must differ between directions and connections, so that they draw different delays.
    delay_line(const relay_options& options, std::uint64_t seed);

    /// Returns when to forward a piece received at `now`: never before the previous piece.
    [[nodiscard]] core::steady_time due(core::steady_time now);

private:
    relay_options m_options;
    std::mt19937_64 m_random;
    core::steady_time m_last;
};

} // namespace monsoonlift::tools
