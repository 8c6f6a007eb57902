#pragma once

#include "model/internal/call.h"
#include "model/internal/event_loop.h"
#include "model/internal/goodput_recorder.h"
#include "model/types/scenario.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <random>

namespace monsoonlift::model::internal {

/// Callers of one class. Calls arrive in an open loop, and a failed call is resent as a new root call.
class caller_model {
public:
    using send_root = std::function<void(const core::call_context&, const class_spec&, answer_handler)>;

    caller_model(event_loop& loop, std::mt19937_64& random, const scenario& simulated,
                 std::size_t class_index, core::class_rank rank, goodput_recorder& recorder, send_root send);

    /// Starts the arrivals.
    void start();

    /// Returns the number of root calls sent, resends included.
    [[nodiscard]] std::uint64_t sends() const { return m_sends; }

private:
    void schedule_arrival();
    void send(run_time requested_at, std::uint32_t resends_left);
    [[nodiscard]] double rate() const;

    event_loop& m_loop;
    std::mt19937_64& m_random;
    const scenario& m_scenario;
    std::size_t m_class_index;
    core::class_rank m_rank;
    goodput_recorder& m_recorder;
    send_root m_send;
    std::uint64_t m_sends = 0;
};

} // namespace monsoonlift::model::internal
