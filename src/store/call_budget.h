/// Token bucket that limits the calls of one process to the platform; all kinds of call share it.
#pragma once

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace monsoonlift::store {

/// One daemon's share of the call rate that the platform accepts from the whole fleet.
struct call_budget_rule {
    double tokens_per_second = 2;
    double burst = 20; ///< Covers a daemon's start: member object, configuration, home table, one conflict.
    double read_cost = 1; ///< Tokens per get, list or watch; a watch costs the same however long it waits.
    double write_cost = 5;
};

/// State of a token bucket. `tokens` may be negative, since a waiting call takes its tokens in advance.
struct call_budget {
    call_budget_rule rule;
    double tokens = call_budget_rule{}.burst;
    core::steady_time refilled;
};

/// A full bucket.
[[nodiscard]] call_budget full_budget(const call_budget_rule& rule, core::steady_time now);

/// Takes `cost` tokens and returns the time to wait until the bucket has refilled enough to cover them.
/// Returns nothing and takes no token if the wait would exceed `longest_wait`.
[[nodiscard]] std::optional<std::chrono::nanoseconds>
reserve(call_budget& budget, double cost, std::chrono::nanoseconds longest_wait, core::steady_time now);

/// Caps the tokens at one, so that a fleet resumes its calls slowly when the platform recovers.
void restart_slowly(call_budget& budget, core::steady_time now);

} // namespace monsoonlift::store
