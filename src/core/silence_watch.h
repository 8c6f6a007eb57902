#pragma once

#include "core/clock.h"

#include <atomic>
#include <chrono>

namespace monsoonlift::core {

/// Detects that a peer which should send messages regularly has fallen silent. The watcher must check
/// regularly, too: a late check means that the watcher itself was paused and that messages may still wait to
/// be read, so the timeout is restarted. Thread-safe.
class silence_watch {
public:
    /// `patience` is the timeout after which the peer counts as silent; look() must be called at intervals of
    /// at most a third of it.
    explicit silence_watch(std::chrono::milliseconds patience);

    /// Records that a message from the peer was received; callable from any thread.
    void heard(steady_time now);

    /// Returns whether the peer has been silent for longer than the timeout; call it regularly, from one
    /// thread at a time.
    [[nodiscard]] bool look(steady_time now);

private:
    const std::chrono::milliseconds m_patience;
    std::atomic<steady_time> m_last_message;
    std::atomic<steady_time> m_last_check;
};

} // namespace monsoonlift::core
