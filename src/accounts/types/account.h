#pragma once

#include "core/types/call_context.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::accounts {

/// SHA-256 of an API key. Keys themselves are neither kept nor logged.
using key_digest = std::array<std::uint8_t, 32>;

/// Root calls of one account that the fleet as a whole accepts: a token bucket.
struct account_limit {
    double rate_per_second = 0; ///< 0 for no limit.
    double burst = 0;           ///< Calls accepted at once beyond the rate.
};

/// A client account: whoever holds one of its keys calls in its name.
struct account {
    std::string name;
    std::vector<key_digest> keys;
    std::optional<core::class_rank> rank; ///< Takes precedence over the rank of the called route.
    account_limit limit;
};

} // namespace monsoonlift::accounts
