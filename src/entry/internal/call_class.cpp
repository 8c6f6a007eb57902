#include "entry/internal/call_class.h"

#include <algorithm>
#include <array>

namespace monsoonlift::entry::internal {

namespace {

constexpr std::array<std::string_view, 4> outcome_names{"answered", "problem", "cut_short", "caller_gone"};
constexpr std::array<std::string_view, 3> verdict_names{"not_run", "ran", "may_have_run"};
constexpr std::array<std::string_view, 2> budget_names{"root_call", "daemon"};

/// Problems are counted by type. The list bounds the number of counters: all errors in a request's head count
/// as malformed, and types not listed as other.
constexpr std::array<std::string_view, 25> problem_names{"shed",
                                                         "draining",
                                                         "no-backend-server",
                                                         "backend-refused",
                                                         "deadline",
                                                         "cancelled",
                                                         "key-conflict",
                                                         "refused-key",
                                                         "home-unknown",
                                                         "quarantined",
                                                         "body-incomplete",
                                                         "body-damaged",
                                                         "already-run",
                                                         "backend-failed",
                                                         "no-configuration",
                                                         "unknown-service",
                                                         "unknown-call",
                                                         "missing-key",
                                                         "unknown-key",
                                                         "parent-not-running",
                                                         "quota-exceeded",
                                                         "quota-unavailable",
                                                         "configuration-outdated",
                                                         "malformed",
                                                         "other"};
constexpr std::size_t malformed = problem_names.size() - 2;
constexpr std::size_t other = problem_names.size() - 1;

std::size_t position_of(const problem& trouble) {
    const auto* found = std::find(problem_names.begin(), problem_names.end(), trouble.type);
    if (found != problem_names.end()) {
        return static_cast<std::size_t>(found - problem_names.begin());
    }
    return trouble.status == 400 || trouble.status == 413 ? malformed : other;
}

std::vector<metrics::counter_row> add_ends(metrics::metrics_registry& registry, const std::string& of_class) {
    std::vector<metrics::counter_row> rows;
    rows.reserve(outcome_names.size());
    for (const auto outcome : outcome_names) {
        rows.emplace_back(registry, "monsoonlift_calls_ended_total",
                          "Calls of callers that ended, by how and by what is known of their run.",
                          of_class + "," + metrics::label("outcome", outcome), "verdict", verdict_names);
    }
    return rows;
}

std::string label_of(const std::string& class_name) {
    return metrics::label("class", class_name);
}

} // namespace

call_class::call_class(metrics::metrics_registry& registry, const core::clock& clock,
                       const std::string& class_name)
    : retries(registry.add_counter("monsoonlift_retries_total", "Attempts beyond the first.",
                                   label_of(class_name))),
      call_time(registry.add_latency("monsoonlift_call_seconds",
                                     "Time of a caller's call at this entry, in seconds.",
                                     label_of(class_name))),
      shed_event(clock), unreachable_event(clock), may_have_run_event(clock), budget_event(clock),
      m_name(class_name), m_ends(add_ends(registry, label_of(class_name))),
      m_problems(registry, "monsoonlift_call_problems_total",
                 "Problem documents given to callers instead of an answer, by reason.", label_of(class_name),
                 "reason", problem_names),
      m_withheld(registry, "monsoonlift_retries_withheld_total",
                 "Attempts beyond the first that a spent budget did not allow.", label_of(class_name),
                 "budget", budget_names) {}

void call_class::count_end(call_outcome how, core::verdict run) const {
    m_ends.at(static_cast<std::size_t>(how)).at(static_cast<std::size_t>(run)).add();
}

void call_class::count_problem(const problem& trouble) const {
    m_problems.at(position_of(trouble)).add();
}

void call_class::count_withheld(spent_budget budget) const {
    m_withheld.at(static_cast<std::size_t>(budget)).add();
}

} // namespace monsoonlift::entry::internal
