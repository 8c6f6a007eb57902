#include "entry/internal/caller_sessions.h"

#include "entry/internal/caller_session.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace monsoonlift::entry::internal {

namespace {

/// One in so many sessions is closed at once, so that not every new one has to look for another.
constexpr std::size_t closed_share = 16;

/// A session and the moment since which it has waited for a request.
struct idle_session {
    core::steady_time since;
    std::shared_ptr<caller_session> session;
};

} // namespace

void caller_sessions::add(const std::shared_ptr<caller_session>& session) {
    ++m_open;
    const std::scoped_lock lock(m_mutex);
    const bool is_full = m_sessions.size() == m_sessions.capacity();
    if (is_full) {
        std::erase_if(m_sessions, [](const auto& known) { return known.expired(); });
    }
    m_sessions.push_back(session);
}

bool caller_sessions::has_room() {
    if (m_open < m_limit) {
        return true;
    }
    const auto chosen = longest_idle();
    for (const auto& session : chosen) {
        session->close_if_idle();
    }
    return !chosen.empty();
}

void caller_sessions::close_when_idle() {
    for (const auto& session : all()) {
        session->close_when_idle();
    }
}

std::vector<std::shared_ptr<caller_session>> caller_sessions::all() const {
    std::vector<std::shared_ptr<caller_session>> open;
    const std::scoped_lock lock(m_mutex);
    for (const auto& known : m_sessions) {
        if (auto session = known.lock()) {
            open.push_back(std::move(session));
        }
    }
    return open;
}

std::vector<std::shared_ptr<caller_session>> caller_sessions::longest_idle() const {
    std::vector<idle_session> idle;
    for (auto& session : all()) {
        const auto since = session->idle_since();
        if (since) {
            idle.push_back({*since, std::move(session)});
        }
    }
    const auto count = std::min(idle.size(), std::max<std::size_t>(1, m_limit / closed_share));
    const auto end = idle.begin() + static_cast<std::ptrdiff_t>(count);
    std::ranges::partial_sort(idle, end, {}, &idle_session::since);
    std::vector<std::shared_ptr<caller_session>> longest;
    std::transform(idle.begin(), end, std::back_inserter(longest),
                   [](const auto& chosen) { return chosen.session; });
    return longest;
}

} // namespace monsoonlift::entry::internal
