#include "tools/slot_pool.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::tools {

slot_pool::slot_pool(std::uint32_t slots) : m_slots(slots) {}

bool slot_pool::acquire(std::uint64_t ticket, granted_handler granted) {
    const std::lock_guard lock(m_mutex);
    if (m_running < m_slots) {
        ++m_running;
        return true;
    }
    m_queue.push_back({ticket, std::move(granted)});
    return false;
}

bool slot_pool::abandon(std::uint64_t ticket) {
    const std::lock_guard lock(m_mutex);
    const auto found = std::find_if(m_queue.begin(), m_queue.end(),
                                    [&](const waiter& candidate) { return candidate.ticket == ticket; });
    if (found == m_queue.end()) {
        return false;
    }
    m_queue.erase(found);
    return true;
}

void slot_pool::release() {
    granted_handler granted;
    {
        const std::lock_guard lock(m_mutex);
        if (m_queue.empty()) {
            --m_running;
            return;
        }
        granted = std::move(m_queue.front().granted);
        m_queue.pop_front();
    }
    granted();
}

std::uint32_t slot_pool::running() const {
    const std::lock_guard lock(m_mutex);
    return m_running;
}

std::size_t slot_pool::waiting() const {
    const std::lock_guard lock(m_mutex);
    return m_queue.size();
}

} // namespace monsoonlift::tools
