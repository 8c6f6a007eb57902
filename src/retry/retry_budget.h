/// Retry policy: whether and when an attempt may be repeated, and the budgets that bound retries.
#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace monsoonlift::retry {

/// Random number generator for the delays; seeded by the owner.
using random_engine = std::mt19937_64;

/// Token bucket of a daemon: each first attempt adds `ratio` tokens, each retry spends one.
struct ratio_state {
    double ratio = 0.1;
    double tokens = 10;
    double max_tokens = 10;
};

/// Result of a failed attempt, as input for the decision to retry.
struct attempt_outcome {
    core::verdict run = core::verdict::not_run;
    std::uint32_t attempt = 0;                   ///< Index of the attempt within its call; 0 for the first.
    std::chrono::nanoseconds typical_service{0}; ///< Time that another attempt is expected to take.
    std::optional<std::chrono::milliseconds> retry_after; ///< Minimum delay requested by the gate.
    bool reached_server = true; ///< False only if a gate reported that no backend server received it.
};

/// The token buckets of one daemon.
struct retry_budgets {
    ratio_state repeats; ///< For retries after an attempt that may have reached a backend server.
    ratio_state resends; ///< For retries after an attempt that was refused before it reached any.
};

/// Token bucket of one daemon for one called service: retries of calls that make no calls of their own, after
/// an attempt that a backend server refused unrun. Such a retry adds one arrival there and none further down,
/// so it needs no share of the root call's budget. Each first attempt adds `ratio` tokens; the bucket holds
/// `burst` and what was earned lately, so calls in a calm pay for retries in the trouble after it.
struct leaf_budget {
    double ratio = 0.1;
    double burst = 10;
    double tokens = 10;
    double earned = 0; ///< Tokens earned lately: each counts less from then on, by `leaf_memory`.
    core::steady_time counted_at{};
};

/// Time constant with which earned tokens of a leaf_budget are forgotten.
constexpr std::chrono::seconds leaf_memory{4};

/// Returns full buckets that each allow a burst of `burst` retries.
[[nodiscard]] retry_budgets make_retry_budgets(double burst);

/// Adds the tokens that a first attempt earns.
void record_first_attempt(ratio_state& state);

/// Adds the tokens that a first attempt earns to both buckets.
void record_first_attempt(retry_budgets& budgets);

/// Returns the bucket from which a retry takes its token. Retries of requests that reached no backend server
/// do not add to the load of the backend servers, so they must not use up the tokens for failures there.
[[nodiscard]] ratio_state& bucket_for(retry_budgets& budgets, bool reached_server);

/// Returns the delay after which the call may be retried, or nothing if it may not. A permitted retry spends
/// one token, and one of `context.attempts_left` if a backend server may have received the request.
[[nodiscard]] std::optional<std::chrono::nanoseconds>
next_attempt(ratio_state& state, core::call_context& context, const attempt_outcome& outcome,
             random_engine& random, core::steady_time now);

/// Adds the tokens that a first attempt at the service earns.
void record_first_attempt(leaf_budget& state, core::steady_time now);

/// Takes a token for an arrival that is a repeat and was allowed otherwise: a retry out of another budget, or
/// a call made by a run that was itself a retry. The tokens may fall below zero, by as much as the
/// bucket holds.
void charge(leaf_budget& state);

/// Whether the tokens allow a retry. The fewer nested calls have ended for the run that makes the call, the
/// more tokens must stay for others, as a retry late in a series of calls saves the work done for those
/// before it.
[[nodiscard]] bool may_retry(const leaf_budget& state, std::uint32_t calls_ended);

/// As above, out of a leaf_budget: `context.attempts_left` is neither needed nor spent.
[[nodiscard]] std::optional<std::chrono::nanoseconds>
next_attempt(leaf_budget& state, const core::call_context& context, const attempt_outcome& outcome,
             std::uint32_t calls_ended, random_engine& random, core::steady_time now);

/// Sets and returns the retry budget of a root call: at most `context.attempts_left` and at most the whole
/// tokens in `grants`, a token bucket used for root calls only. This bounds the retries of all hops together
/// to a share of the root calls, at any depth. Call record_first_attempt on `grants` for each root call
/// first.
[[nodiscard]] std::uint32_t grant(ratio_state& grants, core::call_context& context);

/// Adds the attempts that a root call did not spend of its grant back to the token bucket.
void give_back(ratio_state& grants, std::uint32_t unspent);

/// Returns the number of attempts that a call passes on to the backend server for its nested calls. A root
/// call with more than one attempt left reserves one, so that it can still be retried if its answer is lost,
/// which carries the count of attempts spent.
[[nodiscard]] std::uint32_t lend(const core::call_context& context);

/// Deducts the attempts that nested calls spent from the budget once an attempt has ended. `spent` is the
/// count in its answer, capped at `lent`; without a count all of `lent` is assumed to be spent, so that the
/// bound holds.
void settle(core::call_context& context, std::uint32_t lent, std::optional<std::uint32_t> spent);

} // namespace monsoonlift::retry
