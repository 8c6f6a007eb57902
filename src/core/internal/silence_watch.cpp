#include "core/silence_watch.h"

namespace monsoonlift::core {

namespace {

/// A look that comes later than this part of the patience after the one before was held up.
constexpr int parts_of_patience = 3;

} // namespace

silence_watch::silence_watch(std::chrono::milliseconds patience)
    : m_patience(patience), m_heard(steady_time{}), m_looked(steady_time{}) {}

void silence_watch::heard(steady_time now) {
    m_heard = now;
}

bool silence_watch::look(steady_time now) {
    const auto looked = m_looked.exchange(now);
    if (now - looked > m_patience / parts_of_patience) {
        m_heard = now;
        return false;
    }
    return now - m_heard.load() > m_patience;
}

} // namespace monsoonlift::core
