#pragma once

#include "core/clock.h"
#include "membership/member_directory.h"
#include "retry/retry_budget.h"
#include "routing/chain_levels.h"
#include "routing/routing_table.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <string>

namespace monsoonlift::entry::internal {

/// Routing and retry decisions of one entry behind one lock.
class route_book {
public:
    /// With `decisions_on` false endpoints are chosen at random and retries have no budget.
    /// `retry_burst` bounds the retries that are sent at once, beyond their ratio to first attempts, and
    /// `grant_burst` those that root calls in flight may hold.
    route_book(bool decisions_on, std::string data_centre, std::uint64_t random_seed, std::size_t retry_burst,
               std::size_t grant_burst);

    [[nodiscard]] core::root_id draw_root();

    [[nodiscard]] routing::route_choice choose(const routing::route_request& request, core::steady_time now);

    /// Whether an endpoint is left that the call has not tried; always while decisions are off, for endpoints
    /// are then drawn with no regard to earlier attempts.
    [[nodiscard]] bool has_untried(const routing::route_request& request);

    /// Whether that life of the endpoint is up as far as is known.
    [[nodiscard]] bool is_known(const core::endpoint_id& endpoint);

    void record_sent(const core::endpoint_id& endpoint, bool first_attempt);

    void record_result(const core::endpoint_id& endpoint, const routing::attempt_result& result,
                       core::steady_time now);

    /// Notes the strictest threshold that a root call of that kind met.
    void record_chain(const std::string& kind, const admission::shed_level& met, core::steady_time now);

    /// The threshold that root calls of that kind are likely to meet; everything passes with decisions off.
    [[nodiscard]] admission::shed_level chain_level(const std::string& kind, core::steady_time now);

    /// When a caller that is refused may return: within its latency objective, and not all at the same time.
    [[nodiscard]] std::chrono::milliseconds return_time(std::chrono::milliseconds latency_objective);

    /// The delay before the next attempt, or nothing.
    [[nodiscard]] std::optional<std::chrono::nanoseconds>
    next_attempt(core::call_context& context, const retry::attempt_outcome& outcome, core::steady_time now);

    /// Whether the daemon's own budget allows another retry, after an attempt that may have reached a backend
    /// server or did not.
    [[nodiscard]] bool may_retry(bool reached_server);

    /// Sets what the configuration allows.
    void set_retry_ratio(double ratio);

    /// Grants a root call its budget, at most `context.attempts_left`.
    void grant(core::call_context& context);

    /// Takes back what a root call did not spend.
    void give_back(std::uint32_t unspent);

    void member_changed(const membership::member& changed, core::steady_time now);

private:
    [[nodiscard]] routing::route_choice choose_at_random(const routing::route_request& request);

    bool m_decisions_on;
    std::mutex m_mutex;
    routing::routing_table m_table;
    routing::chain_levels m_chains;
    retry::retry_budgets m_retries;
    retry::ratio_state m_grants; ///< Earned by root calls only.
    routing::random_engine m_random;
};

} // namespace monsoonlift::entry::internal
