/// Exponential backoff with full jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace monsoonlift::store {

/// Random numbers of the policies; seeded by the owner.
using random_engine = std::mt19937_64;

/// Bounds of the delays between attempts.
struct backoff_rule {
    std::chrono::milliseconds first{200};
    std::chrono::milliseconds longest{10'000};
};

/// The delay before attempt `attempt` (0 for the first repetition): uniform between zero and a bound that
/// doubles with each attempt.
[[nodiscard]] std::chrono::milliseconds next_delay(const backoff_rule& rule, std::uint32_t attempt,
                                                   random_engine& random);

} // namespace monsoonlift::store
