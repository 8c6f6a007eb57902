#include "model/internal/loss_account.h"

#include <algorithm>

namespace monsoonlift::model::internal {

namespace {

constexpr std::chrono::milliseconds pause{5};

} // namespace

void loss_account::start(run_time from, run_time until) {
    m_loop.after(from, [this, until] { look(until); });
}

slot_losses loss_account::shares() const {
    if (m_slots <= 0) {
        return {};
    }
    return {m_sums.busy / m_slots, m_sums.idle_own_queue / m_slots, m_sums.idle_other_queue / m_slots,
            m_sums.idle_no_queue / m_slots};
}

void loss_account::look(run_time until) {
    if (m_loop.elapsed() >= until) {
        return;
    }
    for (const auto& [service, gate] : m_gates) {
        const double slots = gate->limit().bounds.slots;
        const double busy = std::min<double>(gate->limit().running, slots);
        const double idle = slots - busy;
        m_slots += slots;
        m_sums.busy += busy;
        if (gate->waiting() > 0) {
            m_sums.idle_own_queue += idle;
        } else if (others_wait(service)) {
            m_sums.idle_other_queue += idle;
        } else {
            m_sums.idle_no_queue += idle;
        }
    }
    m_loop.after(pause, [this, until] { look(until); });
}

bool loss_account::others_wait(std::size_t service) const {
    return std::any_of(m_gates.begin(), m_gates.end(), [service](const known_gate& known) {
        return known.service == service && known.gate->waiting() > 0;
    });
}

} // namespace monsoonlift::model::internal
