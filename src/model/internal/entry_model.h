#pragma once

#include "model/internal/call.h"
#include "model/internal/event_loop.h"
#include "model/internal/gate_model.h"
#include "model/types/rules.h"
#include "model/types/scenario.h"
#include "retry/retry_budget.h"
#include "routing/chain_levels.h"
#include "routing/downstream_levels.h"
#include "routing/routing_table.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <unordered_map>

namespace monsoonlift::model::internal {

/// The entry of one daemon: routes calls and retries failed attempts.
class entry_model {
public:
    entry_model(event_loop& loop, std::mt19937_64& random, const rule_set& rules, const scenario& simulated,
                std::size_t data_centre);

    /// Adds a gate to the routing table.
    void add_gate(std::size_t service, std::size_t data_centre, gate_model& gate);

    /// Sends a call and passes its answer to `done`, no later than at its deadline or at the end of
    /// `patience`. The returned function cancels the call.
    cancel_function send(const core::call_context& context, std::size_t service,
                         std::chrono::nanoseconds patience, const caller_run& made_by, answer_handler done);

    /// Returns the number of calls refused without an attempt.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

    /// Returns the threshold that nested calls of the local backend server are likely to meet.
    [[nodiscard]] admission::shed_level level_below() const;

private:
    struct call {
        core::call_context context;
        std::size_t service = 0;
        caller_run made_by;
        answer_handler done;
        routing::route_request route;
        std::uint32_t attempts = 0;
        std::uint32_t spent = 0;
        std::uint32_t granted = 0;
        admission::shed_level met; ///< Strictest threshold that the attempts of the call met.
        attempt_ptr current;
        bool ended = false;
        bool caller_left = false; ///< Whether the caller left before the deadline.
    };
    using call_ptr = std::shared_ptr<call>;

    struct known_gate {
        gate_model* gate = nullptr;
        std::size_t data_centre = 0;
    };

    void start_attempt(const call_ptr& sent);
    void on_answer(const call_ptr& sent, const core::endpoint_id& endpoint, std::uint32_t lent,
                   core::steady_time started, const call_answer& answer);
    void repeat_or_end(const call_ptr& sent, const call_answer& answer);
    [[nodiscard]] bool is_leaf(std::size_t service) const;
    [[nodiscard]] std::optional<std::chrono::nanoseconds> next_attempt(const call_ptr& sent,
                                                                       const retry::attempt_outcome& outcome);
    void abandon(const call_ptr& sent, bool caller_left);
    void end(const call_ptr& ended, call_answer answer);
    [[nodiscard]] std::chrono::nanoseconds draw_delay(std::size_t data_centre);
    [[nodiscard]] bool is_refused_by_chain(const call_ptr& sent) const;
    void note_met(const call_ptr& sent, const admission::shed_level& met);
    void note_answer(const call_ptr& sent, const call_answer& answer);
    [[nodiscard]] std::optional<core::endpoint_id> choose(const call_ptr& sent);
    void learn(const core::endpoint_id& endpoint, core::steady_time started, const call_answer& answer,
               bool caller_left);

    event_loop& m_loop;
    std::mt19937_64& m_random;
    rule_set m_rules;
    const scenario& m_scenario;
    std::size_t m_data_centre;
    routing::routing_table m_table;
    retry::retry_budgets m_retries = retry::make_retry_budgets(10);
    retry::ratio_state m_grants;
    std::unordered_map<std::size_t, retry::leaf_budget> m_leaf_retries; ///< By called service.
    routing::chain_levels m_chains;
    routing::downstream_levels m_downstream; ///< Of the local backend server's calls, all of one kind.
    std::uint64_t m_refused = 0;
    std::unordered_map<std::string, known_gate> m_gates;
};

} // namespace monsoonlift::model::internal
