#include "retry/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace monsoonlift::retry {

namespace {

using std::chrono::nanoseconds;

/// Upper bound of the random delay before the first retry; it doubles with each attempt, up to
/// `longest_backoff`.
constexpr std::chrono::milliseconds first_backoff{10};
constexpr std::chrono::milliseconds longest_backoff{1000};
constexpr std::uint32_t most_doublings = 10;

/// Resends allowed per first attempt. More than other retries, because a resend costs only messages between
/// daemons.
constexpr double resend_ratio = 0.25;

/// Share of a full leaf_budget that the first call of a run leaves to calls that come later in theirs.
constexpr double first_call_reserve = 0.5;

bool may_repeat(core::verdict run, bool idempotent) {
    switch (run) {
    case core::verdict::not_run:
        return true;
    case core::verdict::may_have_run:
        return idempotent;
    case core::verdict::ran:
        return false;
    }
    return false;
}

nanoseconds jittered_backoff(std::uint32_t attempt, random_engine& random) {
    const nanoseconds doubled = nanoseconds(first_backoff) * (1LL << std::min(attempt, most_doublings));
    const nanoseconds ceiling = std::min(doubled, nanoseconds(longest_backoff));
    return nanoseconds(std::uniform_int_distribution<nanoseconds::rep>(0, ceiling.count())(random));
}

/// Returns the delay before a retry, or nothing if too little time would be left after it.
std::optional<nanoseconds> affordable_delay(const core::call_context& context, const attempt_outcome& outcome,
                                            random_engine& random, core::steady_time now) {
    const nanoseconds delay = nanoseconds(outcome.retry_after.value_or(std::chrono::milliseconds::zero())) +
                              jittered_backoff(outcome.attempt, random);
    if (delay + outcome.typical_service >= core::time_left(context, now)) {
        return std::nullopt;
    }
    return delay;
}

void forget(leaf_budget& state, core::steady_time now) {
    const std::chrono::duration<double> passed = now - state.counted_at;
    if (passed.count() <= 0) {
        return;
    }
    state.earned *= std::exp(-passed.count() / std::chrono::duration<double>(leaf_memory).count());
    state.counted_at = now;
    state.tokens = std::min(state.tokens, state.burst + state.earned);
}

} // namespace

void record_first_attempt(ratio_state& state) {
    state.tokens = std::min(state.max_tokens, state.tokens + state.ratio);
}

retry_budgets make_retry_budgets(double burst) {
    retry_budgets budgets;
    budgets.repeats.tokens = budgets.repeats.max_tokens = burst;
    budgets.resends.ratio = resend_ratio;
    budgets.resends.tokens = budgets.resends.max_tokens = burst;
    return budgets;
}

void record_first_attempt(retry_budgets& budgets) {
    record_first_attempt(budgets.repeats);
    record_first_attempt(budgets.resends);
}

ratio_state& bucket_for(retry_budgets& budgets, bool reached_server) {
    return reached_server ? budgets.repeats : budgets.resends;
}

std::optional<nanoseconds> next_attempt(ratio_state& state, core::call_context& context,
                                        const attempt_outcome& outcome, random_engine& random,
                                        core::steady_time now) {
    const bool is_budget_spent = outcome.reached_server && context.attempts_left == 0;
    if (!may_repeat(outcome.run, context.idempotent) || is_budget_spent || state.tokens < 1) {
        return std::nullopt;
    }
    const auto delay = affordable_delay(context, outcome, random, now);
    if (!delay) {
        return std::nullopt;
    }
    context.attempts_left -= outcome.reached_server ? 1 : 0;
    state.tokens -= 1;
    return delay;
}

void record_first_attempt(leaf_budget& state, core::steady_time now) {
    forget(state, now);
    state.earned += state.ratio;
    state.tokens = std::min(state.tokens + state.ratio, state.burst + state.earned);
}

void charge(leaf_budget& state) {
    state.tokens = std::max(state.tokens - 1, -(state.burst + state.earned));
}

bool may_retry(const leaf_budget& state, std::uint32_t calls_ended) {
    const double reserve = first_call_reserve * (state.burst + state.earned) / (1.0 + calls_ended);
    return state.tokens >= std::max(1.0, reserve);
}

std::optional<nanoseconds> next_attempt(leaf_budget& state, const core::call_context& context,
                                        const attempt_outcome& outcome, std::uint32_t calls_ended,
                                        random_engine& random, core::steady_time now) {
    forget(state, now);
    if (outcome.run != core::verdict::not_run || !may_retry(state, calls_ended)) {
        return std::nullopt;
    }
    const auto delay = affordable_delay(context, outcome, random, now);
    state.tokens -= delay ? 1 : 0;
    return delay;
}

std::uint32_t grant(ratio_state& grants, core::call_context& context) {
    const auto whole_tokens = static_cast<std::uint32_t>(std::max(0.0, grants.tokens));
    context.attempts_left = std::min(context.attempts_left, whole_tokens);
    grants.tokens -= context.attempts_left;
    return context.attempts_left;
}

void give_back(ratio_state& grants, std::uint32_t unspent) {
    grants.tokens = std::min(grants.max_tokens, grants.tokens + unspent);
}

std::uint32_t lend(const core::call_context& context) {
    const bool reserves_one = context.depth == 0 && context.attempts_left > 1;
    return reserves_one ? context.attempts_left - 1 : context.attempts_left;
}

void settle(core::call_context& context, std::uint32_t lent, std::optional<std::uint32_t> spent) {
    const std::uint32_t deducted = std::min(spent.value_or(lent), lent);
    context.attempts_left -= std::min(deducted, context.attempts_left);
}

} // namespace monsoonlift::retry
