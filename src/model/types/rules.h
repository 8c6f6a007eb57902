#pragma once

#include "admission/call_queue.h"

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace monsoonlift::model {

/// Rules of the policies that a run of the model can leave out, to show what each is worth.
enum class rule : std::size_t {
    shedding,          ///< The gate's threshold.
    early_shed,        ///< Entries refuse by the thresholds that answers carried back.
    class_order,       ///< Classes differ.
    root_consistency,  ///< Shedding by root id; without it each call draws its own bucket.
    work_conserving,   ///< A call is never refused while a slot is free.
    nested_first,      ///< Nested calls before new root calls of the same class.
    queue_time_bound,  ///< No call waits longer than the queue's bound.
    hopeless_refusal,  ///< Calls that can't finish in the time left are refused.
    concurrency_bound, ///< The gate bounds what runs; without it the backend server queues by itself.
    learned_limit,     ///< The bound is learned; without it, it is the configured number of slots.
    cold_ramp,         ///< A new backend server starts with a part of its slots.
    limit_trial,       ///< A lower limit is tried when service times rise.
    retry_budget,      ///< One budget for the root call; without it every hop has its own.
    root_grant,        ///< Budgets are granted as a share of root calls.
    retry_ratio,       ///< Retries are a share of first attempts.
    backoff,           ///< Retries wait; without it they go at once.
    load_reports,      ///< Routing knows the load of the gates.
    latency_routing,   ///< Routing learns latencies.
    success_routing,   ///< Routing learns shares of success.
    local_first,       ///< Routing knows data centres.
    cancellation,      ///< Work for a caller that has gone stops.
    count              ///< Number of rules.
};

/// Rules in force, and the order of waiting calls.
struct rule_set {
    std::bitset<static_cast<std::size_t>(rule::count)> on =
        std::bitset<static_cast<std::size_t>(rule::count)>().set();
    admission::queue_order order = admission::queue_order::adaptive;

    /// Whether a rule is in force.
    [[nodiscard]] bool has(rule wanted) const { return on.test(static_cast<std::size_t>(wanted)); }

    /// Takes a rule out.
    void drop(rule unwanted) { on.reset(static_cast<std::size_t>(unwanted)); }
};

/// The name of a rule.
[[nodiscard]] std::string_view to_string(rule value);

/// The rule of that name, or nothing.
[[nodiscard]] std::optional<rule> parse_rule(std::string_view text);

/// No rule at all: calls are passed on to a random backend server.
[[nodiscard]] rule_set pass_through();

} // namespace monsoonlift::model
