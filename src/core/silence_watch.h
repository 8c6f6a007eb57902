#pragma once

#include "core/clock.h"

#include <atomic>
#include <chrono>

namespace monsoonlift::core {

/// Tells when somebody who should be heard regularly has fallen silent. The watcher looks regularly too: when
/// a look comes late, the watcher was paused itself, what was said meanwhile may still wait to be read, and
/// so the patience begins anew. Thread-safe.
class silence_watch {
public:
    /// `patience` is the longest silence; looks must be closer together than a third of it.
    explicit silence_watch(std::chrono::milliseconds patience);

    /// Somebody was heard.
    void heard(steady_time now);

    /// Whether the silence has lasted for longer than the patience; call it regularly, from one thread at a
    /// time.
    [[nodiscard]] bool look(steady_time now);

private:
    const std::chrono::milliseconds m_patience;
    std::atomic<steady_time> m_heard;
    std::atomic<steady_time> m_looked;
};

} // namespace monsoonlift::core
