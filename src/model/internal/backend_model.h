#pragma once

#include "model/internal/call.h"
#include "model/internal/event_loop.h"
#include "model/types/scenario.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace monsoonlift::model::internal {

/// A backend server with slots, an unbounded queue for requests beyond them, and injected faults.
class backend_model {
public:
    /// Sends a nested call.
    using nested_call = std::function<cancel_function(const core::call_context&, std::size_t service,
                                                      const caller_run&, answer_handler)>;

    backend_model(event_loop& loop, std::mt19937_64& random, const service_spec& spec,
                  std::vector<fault_spec> faults, bool cancels);

    /// Sets how nested calls are sent.
    void set_nested_call(nested_call nested) { m_nested = std::move(nested); }

    /// Sets what is called as a request begins to run.
    void set_started(std::function<void(const core::call_context&)> started) {
        m_started = std::move(started);
    }

    /// Runs a request and calls `done` with its answer.
    void run(const attempt_ptr& request, const answer_handler& done);

    /// Returns the current fault, or nullptr.
    [[nodiscard]] const fault_spec* current_fault() const;

    /// Returns how many requests run at once under the current fault.
    [[nodiscard]] std::uint32_t real_slots() const;

    /// Returns whether the current fault is of this kind.
    [[nodiscard]] bool suffers(fault_kind kind) const;

    /// Returns the number of requests that occupied a slot.
    [[nodiscard]] std::uint64_t runs() const { return m_runs; }

private:
    struct job {
        attempt_ptr request;
        answer_handler done;
        std::size_t nested_calls = 0; ///< Number of nested calls sent so far.
        admission::shed_level met;    ///< Strictest threshold that its nested calls met.
        std::uint32_t spent = 0;      ///< Retries made by the nested calls.
        cancel_function cancel_nested;
        bool ended = false;
    };
    using job_ptr = std::shared_ptr<job>;

    void start(const job_ptr& started);
    void start_waiting();
    void send_nested(const job_ptr& current);
    void cancel(const job_ptr& cancelled);
    void finish(const job_ptr& finished, const call_answer& answer);
    [[nodiscard]] std::optional<call_answer> immediate_answer();
    [[nodiscard]] std::chrono::nanoseconds draw_service_time();

    event_loop& m_loop;
    std::mt19937_64& m_random;
    service_spec m_spec;
    std::vector<fault_spec> m_faults;
    bool m_cancels;
    nested_call m_nested;
    std::function<void(const core::call_context&)> m_started;
    std::uint32_t m_running = 0;
    std::uint64_t m_runs = 0;
    std::deque<job_ptr> m_waiting;
};

} // namespace monsoonlift::model::internal
