#include "core/silence_watch.h"

namespace monsoonlift::core {

namespace {

/// If more than the silence timeout divided by this has passed since the previous check, the watcher itself
/// was paused.
constexpr int parts_of_timeout = 3;

} // namespace

silence_watch::silence_watch(std::chrono::milliseconds patience)
    : m_patience(patience), m_last_message(steady_time{}), m_last_check(steady_time{}) {}

void silence_watch::heard(steady_time now) {
    m_last_message = now;
}

bool silence_watch::look(steady_time now) {
    const auto last_check = m_last_check.exchange(now);
    if (now - last_check > m_patience / parts_of_timeout) {
        m_last_message = now;
        return false;
    }
    return now - m_last_message.load() > m_patience;
}

} // namespace monsoonlift::core
