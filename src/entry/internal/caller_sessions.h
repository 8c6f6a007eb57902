/// The open connections of an entry's callers and their limit.
#pragma once

#include <atomic>
#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

namespace monsoonlift::entry::internal {

class caller_session;

/// Knows every session until it ends. Thread-safe; a session is never called while the lock is held.
class caller_sessions {
public:
    /// `limit` is the largest number of sessions for which has_room() is true.
    explicit caller_sessions(std::size_t limit) : m_limit(limit) {}

    void add(const std::shared_ptr<caller_session>& session);

    /// Takes note that a session has ended.
    void ended() { --m_open; }

    /// Whether one more session may begin. At the limit, closes those that have waited longest for a request,
    /// and has room if there were any.
    [[nodiscard]] bool has_room();

    /// Closes each session as soon as it waits for a request.
    void close_when_idle();

private:
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> all() const;
    [[nodiscard]] std::vector<std::shared_ptr<caller_session>> longest_idle() const;

    const std::size_t m_limit;
    std::atomic<std::size_t> m_open = 0;
    mutable std::mutex m_mutex;
    std::vector<std::weak_ptr<caller_session>> m_sessions;
};

} // namespace monsoonlift::entry::internal
