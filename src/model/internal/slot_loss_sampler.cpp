#include "model/internal/slot_loss_sampler.h"

#include <algorithm>

namespace monsoonlift::model::internal {

namespace {

constexpr std::chrono::milliseconds sample_interval{5};

} // namespace

void slot_loss_sampler::start(run_time from, run_time until) {
    m_loop.after(from, [this, until] { sample(until); });
}

slot_losses slot_loss_sampler::shares() const {
    if (m_slots <= 0) {
        return {};
    }
    return {m_sums.busy / m_slots, m_sums.idle_own_queue / m_slots, m_sums.idle_other_queue / m_slots,
            m_sums.idle_no_queue / m_slots};
}

void slot_loss_sampler::sample(run_time until) {
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
    m_loop.after(sample_interval, [this, until] { sample(until); });
}

bool slot_loss_sampler::others_wait(std::size_t service) const {
    return std::any_of(m_gates.begin(), m_gates.end(), [service](const known_gate& known) {
        return known.service == service && known.gate->waiting() > 0;
    });
}

} // namespace monsoonlift::model::internal
