#pragma once

#include "model/internal/event_loop.h"
#include "model/internal/gate_model.h"
#include "model/types/model_result.h"

#include <cstddef>
#include <vector>

namespace monsoonlift::model::internal {

/// Looks at the slots of all servers now and then, and says where those that ran nothing were lost.
class loss_account {
public:
    explicit loss_account(event_loop& loop) : m_loop(loop) {}

    /// Makes a gate known.
    void add_gate(std::size_t service, const gate_model& gate) { m_gates.push_back({service, &gate}); }

    /// Looks from then until then.
    void start(run_time from, run_time until);

    /// The shares of all slots.
    [[nodiscard]] slot_losses shares() const;

private:
    struct known_gate {
        std::size_t service = 0;
        const gate_model* gate = nullptr;
    };

    void look(run_time until);
    [[nodiscard]] bool others_wait(std::size_t service) const;

    event_loop& m_loop;
    std::vector<known_gate> m_gates;
    slot_losses m_sums; ///< Slots, each counted once for each look.
    double m_slots = 0;
};

} // namespace monsoonlift::model::internal
