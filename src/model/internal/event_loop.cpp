#include "model/internal/event_loop.h"

#include <utility>

namespace monsoonlift::model::internal {

void event_loop::after(std::chrono::nanoseconds delay, action what) {
    m_events.push({m_now + delay, m_next_number, std::move(what)});
    ++m_next_number;
}

void event_loop::run_until(std::chrono::nanoseconds end) {
    while (!m_events.empty() && m_events.top().due <= start_time + end) {
        m_now = m_events.top().due;
        const action what = m_events.top().what;
        m_events.pop();
        what();
    }
    m_now = start_time + end;
}

} // namespace monsoonlift::model::internal
