#pragma once

#include "admission/call_queue.h"
#include "admission/shedding.h"
#include "concurrency/concurrency_limit.h"
#include "model/internal/backend_model.h"
#include "model/internal/call.h"
#include "model/internal/event_loop.h"
#include "model/types/model_result.h"
#include "model/types/rules.h"

#include <cstdint>
#include <functional>
#include <random>
#include <unordered_map>
#include <vector>

namespace monsoonlift::model::internal {

/// The gate of one backend server.
class gate_model {
public:
    /// Arrivals in one step of time.
    struct arrivals_in_step {
        std::uint64_t firsts = 0;
        std::uint64_t repeats = 0;
    };

    /// Length of a step in arrivals_by_step().
    static constexpr std::chrono::milliseconds arrivals_step{250};

    gate_model(event_loop& loop, std::mt19937_64& random, const rule_set& rules, const service_spec& spec,
               backend_model& backend);

    /// Admits, queues or refuses an attempt and answers it.
    void receive(const attempt_ptr& received);

    /// Sets where the threshold of the services that runs lead to is found, for chain_rule::whole.
    void set_below(std::function<admission::shed_level()> below) { m_below = std::move(below); }

    /// Starts the timer that expires waiting calls and updates the shed level.
    void start_timer();

    /// Resets the concurrency limit to a cold start after a restart of the backend server.
    void restart();

    /// Returns the number of attempts that arrived.
    [[nodiscard]] std::uint64_t arrivals() const { return m_arrivals; }

    /// Returns the arrivals by steps of time, from the start of the run.
    [[nodiscard]] const std::vector<arrivals_in_step>& arrivals_by_step() const { return m_arrivals_by_step; }

    /// Returns the number of waiting calls.
    [[nodiscard]] std::size_t waiting() const { return m_queue.length; }

    /// Returns the numbers of refused calls by reason.
    [[nodiscard]] const refusal_counts& refusals() const { return m_refusals; }

    /// Returns the state of the concurrency limit.
    [[nodiscard]] const concurrency::limit_state& limit() const { return m_limit; }

private:
    void run(const attempt_ptr& admitted, std::chrono::nanoseconds waited);
    void enqueue(const attempt_ptr& admitted);
    void start_waiting();
    void refuse(const std::vector<admission::waiting_call>& refused);
    void reply(const attempt_ptr& answered, call_answer answer);
    [[nodiscard]] bool is_refused_below(const core::call_context& context) const;
    [[nodiscard]] bool acquire();
    void release(concurrency::run_outcome outcome, std::chrono::nanoseconds time);
    [[nodiscard]] core::steady_time ramp_start() const;
    [[nodiscard]] std::chrono::nanoseconds service_estimate() const;
    [[nodiscard]] routing::load_report report() const;

    event_loop& m_loop;
    std::mt19937_64& m_random;
    rule_set m_rules;
    backend_model& m_backend;
    admission::call_queue m_queue;
    admission::overload_state m_overload;
    concurrency::limit_state m_limit;
    std::unordered_map<std::uint64_t, attempt_ptr> m_waiting;
    std::function<admission::shed_level()> m_below;
    std::uint64_t m_next_ticket = 0;
    std::uint64_t m_arrivals = 0;
    std::vector<arrivals_in_step> m_arrivals_by_step;
    refusal_counts m_refusals;
};

} // namespace monsoonlift::model::internal
