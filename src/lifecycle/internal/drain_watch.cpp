#include "lifecycle/drain_watch.h"

namespace monsoonlift::lifecycle {

void drain_watch::begin(std::chrono::milliseconds planned) {
    m_until = m_clock.now() + planned;
}

bool drain_watch::is_overdue() {
    const bool over = m_until && m_clock.now() >= *m_until;
    if (over) {
        m_until.reset();
    }
    return over;
}

} // namespace monsoonlift::lifecycle
