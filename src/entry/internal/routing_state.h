#pragma once

#include "core/clock.h"
#include "gate/nested_budgets.h"
#include "membership/member_directory.h"
#include "retry/retry_budget.h"
#include "routing/call_times.h"
#include "routing/chain_levels.h"
#include "routing/routing_table.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace monsoonlift::entry::internal {

/// A call of which an attempt is sent or ended, for the retry budgets.
struct budgeted_call {
    const std::string& service;
    gate::run_progress made_by; ///< The run that makes the call; the default for root calls.
};

/// Routing table and retry budgets of one entry, behind one lock. Thread-safe.
class routing_state {
public:
    /// If `decisions_on` is false, endpoints are chosen at random and retries have no budget.
    /// `whole_chains` says that gates report the thresholds of all services below them.
    /// `retry_burst` bounds the retries sent in a burst beyond their ratio to first attempts, and
    /// `grant_burst` the retries that root calls in flight may hold.
    routing_state(bool decisions_on, std::string data_centre, std::uint64_t random_seed,
                  std::size_t retry_burst, std::size_t grant_burst, bool whole_chains = false);

    [[nodiscard]] core::root_id draw_root();

    [[nodiscard]] routing::route_choice choose(const routing::route_request& request, core::steady_time now);

    /// Whether there is an endpoint that the call has not tried; always true while decisions are off, as
    /// endpoints are then chosen regardless of earlier attempts.
    [[nodiscard]] bool has_untried(const routing::route_request& request);

    /// Whether this incarnation of the endpoint is in the routing table, that is, not known to have ended.
    [[nodiscard]] bool is_known(const core::endpoint_id& endpoint);

    void record_sent(const core::endpoint_id& endpoint, bool first_attempt, const budgeted_call& call,
                     core::steady_time now);

    /// Records how many calls a run of this kind made that was answered completely.
    void record_nested_calls(const std::string& kind, std::uint32_t nested_calls);

    /// Whether runs of this kind are known to make no calls; false while decisions are off.
    [[nodiscard]] bool is_leaf(const std::string& kind);

    void record_result(const core::endpoint_id& endpoint, const routing::attempt_result& result,
                       core::steady_time now);

    /// Returns the time that a call of this kind is likely to take from its sending on. While none has been
    /// answered, that is its latency objective; an objective of 0 means the default, 1000 ms.
    [[nodiscard]] std::chrono::nanoseconds likely_call_time(const std::string& kind,
                                                            std::chrono::milliseconds latency_objective);

    /// Records the strictest shedding threshold that a root call of this kind met.
    void record_chain(const std::string& kind, const admission::shed_level& met, core::steady_time now);

    /// Returns the shedding threshold that root calls of this kind are likely to meet; with decisions off,
    /// one that admits every call.
    [[nodiscard]] admission::shed_level chain_level(const std::string& kind, core::steady_time now);

    /// Returns the time after which a refused caller may retry: randomly from 1/4 to 3/4 of its latency
    /// objective, so that callers don't all retry at the same time. An objective of 0 means the default,
    /// 1000 ms.
    [[nodiscard]] std::chrono::milliseconds return_time(std::chrono::milliseconds latency_objective);

    /// Returns the delay before the next attempt, or nothing if there must not be one.
    [[nodiscard]] std::optional<std::chrono::nanoseconds> next_attempt(core::call_context& context,
                                                                       const retry::attempt_outcome& outcome,
                                                                       const budgeted_call& call,
                                                                       core::steady_time now);

    /// Returns the delay before the next attempt of a nested call that makes none of its own, after an
    /// attempt that a backend server refused unrun; nothing if there must not be one.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    next_leaf_attempt(const core::call_context& context, const retry::attempt_outcome& outcome,
                      const budgeted_call& call, core::steady_time now);

    /// Whether the daemon's retry budget allows another retry. `reached_server` says whether the last attempt
    /// may have reached a backend server; retries after other attempts have a separate budget.
    [[nodiscard]] bool may_retry(bool reached_server);

    /// Whether the budget of next_leaf_attempt() allows another retry of this call.
    [[nodiscard]] bool may_retry_leaf(const budgeted_call& call);

    /// Sets the configured ratio of retries to first attempts.
    void set_retry_ratio(double ratio);

    /// Grants a root call its retry budget, at most `context.attempts_left`, and sets that to the granted
    /// number.
    void grant(core::call_context& context);

    /// Returns the retries that a root call did not use.
    void give_back(std::uint32_t unspent);

    void member_changed(const membership::member& changed, core::steady_time now);

private:
    [[nodiscard]] retry::leaf_budget& leaf_retries_of(const std::string& service);
    [[nodiscard]] routing::route_choice choose_at_random(const routing::route_request& request);

    bool m_decisions_on;
    bool m_whole_chains;
    std::mutex m_mutex;
    routing::routing_table m_table;
    routing::call_times m_call_times;
    routing::chain_levels m_chains;
    retry::retry_budgets m_retries;
    retry::ratio_state m_grants; ///< Token bucket for grants to root calls; only root calls refill it.
    std::unordered_map<std::string, retry::leaf_budget> m_leaf_retries; ///< By called service.
    std::unordered_map<std::string, bool> m_makes_calls; ///< Whether a run of this kind has made a call.
    routing::random_engine m_random;
};

} // namespace monsoonlift::entry::internal
