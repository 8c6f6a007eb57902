#include "logging/line_budget.h"

#include <algorithm>

namespace monsoonlift::logging {

namespace {

/// Maximum burst after an idle period, in seconds of the rate.
constexpr double burst_seconds = 2;

/// Share of the budget that is reserved for important lines.
constexpr double reserved_share = 0.5;

double most_tokens(const line_budget& budget) {
    return budget.lines_per_second * burst_seconds;
}

double tokens_at(const line_budget& budget, core::steady_time now) {
    const double passed_s = std::chrono::duration<double>(now - budget.refilled).count();
    const double refilled = budget.tokens + std::max(passed_s, 0.0) * budget.lines_per_second;
    return std::min(refilled, most_tokens(budget));
}

double least_tokens(const line_budget& budget, importance line_importance) {
    return line_importance == importance::important ? 1 : 1 + reserved_share * most_tokens(budget);
}

} // namespace

line_budget make_line_budget(double lines_per_second, core::steady_time now) {
    line_budget budget{lines_per_second, 0, now};
    budget.tokens = most_tokens(budget);
    return budget;
}

bool has_room(const line_budget& budget, importance line_importance, core::steady_time now) {
    return tokens_at(budget, now) >= least_tokens(budget, line_importance);
}

bool take_line(line_budget& budget, importance line_importance, core::steady_time now) {
    budget.tokens = tokens_at(budget, now);
    budget.refilled = std::max(budget.refilled, now);
    if (budget.tokens < least_tokens(budget, line_importance)) {
        return false;
    }
    budget.tokens -= 1;
    return true;
}

} // namespace monsoonlift::logging
