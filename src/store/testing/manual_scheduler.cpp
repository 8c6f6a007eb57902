#include "store/testing/manual_scheduler.h"

#include <algorithm>

namespace monsoonlift::store::testing {

manual_scheduler::manual_scheduler(monsoonlift::testing::manual_clock& clock) : m_clock(clock) {}

void manual_scheduler::after(std::chrono::nanoseconds delay, std::function<void()> task) {
    m_tasks.emplace(due_key(m_clock.now() + delay, m_added++), std::move(task));
}

void manual_scheduler::run_for(std::chrono::nanoseconds span) {
    const auto last = m_clock.now() + span;
    while (run_next(last)) {
    }
    m_clock.advance(last - m_clock.now());
}

bool manual_scheduler::run_until(const std::function<bool()>& reached, std::chrono::nanoseconds longest) {
    const auto last = m_clock.now() + longest;
    while (!reached()) {
        if (!run_next(last)) {
            return false;
        }
    }
    return true;
}

bool manual_scheduler::run_next(core::steady_time last) {
    if (m_tasks.empty() || m_tasks.begin()->first.first > last) {
        return false;
    }
    auto next = m_tasks.extract(m_tasks.begin());
    m_clock.advance(std::max(next.key().first, m_clock.now()) - m_clock.now());
    next.mapped()();
    return true;
}

} // namespace monsoonlift::store::testing
