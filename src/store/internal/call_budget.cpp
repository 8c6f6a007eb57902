#include "store/call_budget.h"

#include <algorithm>

namespace monsoonlift::store {

namespace {

void refill(call_budget& budget, core::steady_time now) {
    if (now <= budget.refilled) {
        return;
    }
    const std::chrono::duration<double> passed = now - budget.refilled;
    budget.tokens =
        std::min(budget.rule.burst, budget.tokens + passed.count() * budget.rule.tokens_per_second);
    budget.refilled = now;
}

} // namespace

call_budget full_budget(const call_budget_rule& rule, core::steady_time now) {
    return {rule, rule.burst, now};
}

std::optional<std::chrono::nanoseconds>
reserve(call_budget& budget, double cost, std::chrono::nanoseconds longest_wait, core::steady_time now) {
    refill(budget, now);
    const double missing = std::max(0.0, cost - budget.tokens);
    const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(missing / budget.rule.tokens_per_second));
    if (wait > longest_wait) {
        return std::nullopt;
    }
    budget.tokens -= cost;
    return wait;
}

void restart_slowly(call_budget& budget, core::steady_time now) {
    refill(budget, now);
    budget.tokens = std::min(budget.tokens, 1.0);
}

} // namespace monsoonlift::store
