#pragma once

#include "admission/call_queue.h"

#include <bitset>
#include <cstddef>
#include <optional>
#include <string_view>

namespace monsoonlift::model {

/// Rules of the policies that a simulation can disable one by one, to measure the effect of each.
enum class rule : std::size_t {
    shedding,          ///< The gate refuses calls beyond its shed level.
    early_shed,        ///< Entries refuse calls by the shed levels that gates reported in answers.
    class_order,       ///< Classes have different ranks; without it all have the same.
    root_consistency,  ///< Shedding by root id; without it each call draws its own bucket.
    work_conserving,   ///< A call is never refused while a slot is free.
    nested_first,      ///< Nested calls go before new root calls of the same class.
    queue_time_bound,  ///< The queue's length and waiting time are bounded.
    hopeless_refusal,  ///< Calls that can't finish in the time left are refused.
    concurrency_bound, ///< The gate limits running requests; without it the backend server queues them.
    learned_limit,     ///< The limit is learned; without it, it is the configured number of slots.
    cold_ramp,         ///< A restarted backend server gets only a part of its slots at first.
    limit_trial,       ///< A lower limit is tried when service times rise.
    retry_budget,      ///< One retry budget for the root call; without it every hop has its own.
    root_grant,        ///< Retry budgets are granted in proportion to the number of root calls.
    retry_ratio,       ///< Retries are limited to a share of first attempts.
    leaf_retries,    ///< Refused calls that make none of their own are retried out of a budget of their own.
    backoff,         ///< Retries are delayed; without it they are sent immediately.
    load_reports,    ///< Routing uses the load that gates report.
    latency_routing, ///< Routing uses measured latencies.
    success_routing, ///< Routing uses measured success rates.
    local_first,     ///< Routing prefers gates in its own data centre.
    cancellation,    ///< Work for a caller that has left is cancelled.
    count            ///< Number of rules.
};

/// How calls are admitted whose chain leads to an overloaded service.
enum class chain_rule {
    none,    ///< Each service decides for itself.
    learned, ///< Entries learn the thresholds that root calls met, as with `chain_admission` set to off.
    whole    ///< Chains are admitted as a whole, as with `chain_admission` set to on.
};

/// Enabled rules, and the order of waiting calls.
struct rule_set {
    std::bitset<static_cast<std::size_t>(rule::count)> on =
        std::bitset<static_cast<std::size_t>(rule::count)>().set();
    admission::queue_order order = admission::queue_order::adaptive;
    chain_rule chains = chain_rule::none;

    /// Returns whether a rule is enabled.
    [[nodiscard]] bool has(rule value) const { return on.test(static_cast<std::size_t>(value)); }

    /// Disables a rule.
    void disable(rule value) { on.reset(static_cast<std::size_t>(value)); }
};

/// Returns the name of a rule.
[[nodiscard]] std::string_view to_string(rule value);

/// Returns the rule named `text`, or nothing.
[[nodiscard]] std::optional<rule> parse_rule(std::string_view text);

/// Returns a set without any rule: calls are passed on to a random backend server.
[[nodiscard]] rule_set pass_through();

} // namespace monsoonlift::model
