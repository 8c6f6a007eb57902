/// How many calls one process may make to the platform: a token bucket that all kinds of call share.
#pragma once

#include <chrono>
#include <optional>

#include "core/clock.h"

namespace monsoonlift::store {

/// The share of one daemon in what the platform takes from the whole fleet.
struct call_budget_rule {
    double tokens_per_second = 2;
    double burst =
        20; ///< What a daemon needs to start: its member, configuration and homes, one conflict included.
    double read_cost = 1; ///< Of get, list and watch; a watch counts once however long it waits.
    double write_cost = 5;
};

/// Tokens left. They may fall below zero: calls that wait have taken theirs ahead.
struct call_budget {
    call_budget_rule rule;
    double tokens = call_budget_rule{}.burst;
    core::steady_time refilled;
};

/// A full bucket.
[[nodiscard]] call_budget full_budget(const call_budget_rule& rule, core::steady_time now);

/// Takes `cost` tokens and gives the time to wait until they are there; nothing, and no token taken, if that
/// is longer than `longest_wait`.
[[nodiscard]] std::optional<std::chrono::nanoseconds>
reserve(call_budget& budget, double cost, std::chrono::nanoseconds longest_wait, core::steady_time now);

/// Leaves at most one token, so that a fleet that finds the platform back begins slowly.
void restart_slowly(call_budget& budget, core::steady_time now);

} // namespace monsoonlift::store
