/// Numbers on which entries and owners of quotas must agree.
#pragma once

#include <chrono>
#include <cstdint>

namespace monsoonlift::quota {

/// Shards of the accounts. A constant, as daemons that disagreed on it would ask two owners for one account.
inline constexpr std::uint32_t shard_count = 4;

/// How long a token may be used, counted by the entry from the moment it sent the request for it. The bound
/// allows 10% beyond rate x 5 s, which the rate during this time uses up.
inline constexpr std::chrono::milliseconds token_lifetime{500};

/// Time between two messages of an entry to one owner, unless a call waits.
inline constexpr std::chrono::milliseconds report_interval{200};

/// Age from which an unused token is returned: with the next report it is then still valid at the owner.
inline constexpr std::chrono::milliseconds return_age{200};

/// Demand for which an entry that asks in advance keeps tokens.
inline constexpr std::chrono::milliseconds ahead_horizon{350};

/// Calls a second of an account at one entry from which tokens are asked for in advance. Below it most tokens
/// would be returned unused.
inline constexpr double least_demand_ahead = 4;

/// Longest time that a call waits for a token.
inline constexpr std::chrono::milliseconds longest_wait{150};

/// Time after which a request counts as unanswered, and another daemon is asked. Several times the round trip
/// between data centres, and short enough for a second request while a call waits.
inline constexpr std::chrono::milliseconds answer_patience{60};

/// Tokens that a bucket holds beyond the account's burst. The limit allows 20 beyond burst; the other half is
/// left for calls that wait at a gate and reach a server later than their token was taken.
inline constexpr double extra_capacity = 10;

/// Time constant with which the demand of an account is smoothed.
inline constexpr std::chrono::milliseconds demand_smoothing{2000};

/// Time between two reports of all demands of a shard to one entry.
inline constexpr std::chrono::milliseconds demands_interval{2000};

/// Time between two renewals of a lease, and between two reads of a daemon that contends for it.
inline constexpr std::chrono::milliseconds lease_renewal{500};

/// How long a lease is valid from the moment its last successful renewal was sent.
inline constexpr std::chrono::milliseconds lease_lifetime{1500};

} // namespace monsoonlift::quota
