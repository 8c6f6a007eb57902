#pragma once

#include "model/internal/event_loop.h"
#include "model/internal/gate_model.h"
#include "model/types/model_result.h"

#include <cstddef>
#include <vector>

namespace monsoonlift::model::internal {

/// Samples the slots of all servers periodically and attributes idle slots to their causes.
class slot_loss_sampler {
public:
    explicit slot_loss_sampler(event_loop& loop) : m_loop(loop) {}

    /// Adds a gate whose slots are sampled.
    void add_gate(std::size_t service, const gate_model& gate) { m_gates.push_back({service, &gate}); }

    /// Samples the slots between `from` and `until`, times since the start of the run.
    void start(run_time from, run_time until);

    /// Returns busy and idle slots as shares of all slots.
    [[nodiscard]] slot_losses shares() const;

private:
    struct known_gate {
        std::size_t service = 0;
        const gate_model* gate = nullptr;
    };

    void sample(run_time until);
    [[nodiscard]] bool others_wait(std::size_t service) const;

    event_loop& m_loop;
    std::vector<known_gate> m_gates;
    slot_losses m_sums; ///< Slots, each counted once per sample.
    double m_slots = 0;
};

} // namespace monsoonlift::model::internal
