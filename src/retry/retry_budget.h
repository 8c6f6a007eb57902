/// Whether, when and with what budget an attempt may be repeated.
#pragma once

#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/verdict.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>

namespace monsoonlift::retry {

/// Random numbers of the policies; seeded by the owner.
using random_engine = std::mt19937_64;

/// Token bucket of one daemon: first attempts earn, retries spend.
struct ratio_state {
    double ratio = 0.1;
    double tokens = 10;
    double max_tokens = 10;
};

/// What is known of the attempt that ended.
struct attempt_outcome {
    core::verdict run = core::verdict::not_run;
    std::uint32_t attempt = 0;                            ///< 0 for the first.
    std::chrono::nanoseconds typical_service{0};          ///< Time a repeated attempt is expected to take.
    std::optional<std::chrono::milliseconds> retry_after; ///< What the gate asked for.
    bool reached_server = true; ///< The backend server may have got it; no gate says otherwise.
};

/// The token buckets of one daemon.
struct retry_budgets {
    ratio_state repeats; ///< For attempts after one that may have reached a backend server.
    ratio_state resends; ///< For attempts after one that was refused before it reached any.
};

/// Buckets in which retries of either sort may come `burst` at once.
[[nodiscard]] retry_budgets make_retry_budgets(double burst);

/// Counts a first attempt.
void record_first_attempt(ratio_state& state);

/// Counts a first attempt in both buckets.
void record_first_attempt(retry_budgets& budgets);

/// The bucket that another attempt draws on. What no backend server got adds nothing to what they are sent,
/// so it must not use up what failures there need.
[[nodiscard]] ratio_state& bucket_for(retry_budgets& budgets, bool reached_server);

/// The delay after which the call may be attempted again, or nothing. A yes spends one token, and one attempt
/// of `context.attempts_left` if a backend server may have got the request.
[[nodiscard]] std::optional<std::chrono::nanoseconds>
next_attempt(ratio_state& state, core::call_context& context, const attempt_outcome& outcome,
             random_engine& random, core::steady_time now);

/// Grants the root call its budget, at most `context.attempts_left` and at most the whole tokens of `grants`,
/// a token bucket kept for root calls only: so the repeated attempts of all hops together stay a share of the
/// root calls, whatever the depth. Call record_first_attempt on `grants` for each root call before.
[[nodiscard]] std::uint32_t grant(ratio_state& grants, core::call_context& context);

/// Returns what a root call did not spend of its grant.
void give_back(ratio_state& grants, std::uint32_t unspent);

/// The attempts that a call may carry to the backend server for its nested calls. A root call keeps one back,
/// so that it can still be repeated when its answer, and with it the count of attempts spent, is lost.
[[nodiscard]] std::uint32_t lend(const core::call_context& context);

/// Takes back what is left of `lent` when an attempt has ended. `spent` is the count in its answer; without a
/// count everything that was lent is taken as spent, so that the bound holds.
void settle(core::call_context& context, std::uint32_t lent, std::optional<std::uint32_t> spent);

} // namespace monsoonlift::retry
