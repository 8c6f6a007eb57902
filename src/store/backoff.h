/// Exponential backoff with full jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace monsoonlift::store {

/// Random number generator for jitter; seeded by its owner.
using random_engine = std::mt19937_64;

/// Upper limits of the jittered delays: of the first delay, and of all delays.
struct backoff_rule {
    std::chrono::milliseconds first{200};
    std::chrono::milliseconds longest{10'000};
};

/// Returns the delay before retry `attempt` (0 for the first retry): uniform between zero and a bound that
/// doubles with each retry, up to `rule.longest`.
[[nodiscard]] std::chrono::milliseconds next_delay(const backoff_rule& rule, std::uint32_t attempt,
                                                   random_engine& random);

} // namespace monsoonlift::store
