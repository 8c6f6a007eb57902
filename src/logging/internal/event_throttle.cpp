#include "logging/event_throttle.h"

namespace monsoonlift::logging {

std::optional<std::uint64_t> event_throttle::take() {
    const auto now = m_clock.now();
    const auto until = now + std::chrono::duration_cast<core::steady_time::duration>(m_window);
    auto closed_until = m_closed_until.load(std::memory_order_relaxed);
    const bool open = now.time_since_epoch().count() >= closed_until;
    if (open && m_closed_until.compare_exchange_strong(closed_until, until.time_since_epoch().count())) {
        return m_left_out.exchange(0);
    }
    m_left_out.fetch_add(1, std::memory_order_relaxed);
    return std::nullopt;
}

} // namespace monsoonlift::logging
