#pragma once

#include "logging/event_catalogue.h"

#include <cstdint>
#include <map>

namespace monsoonlift::logging {

/// Counts dropped log lines by event. Not thread-safe: the owner must synchronize.
class left_out_counts {
public:
    /// Counts one dropped line.
    void add(event_id id) {
        ++m_by_event[id];
        ++m_total;
    }

    [[nodiscard]] bool empty() const { return m_by_event.empty(); }

    /// Number of lines dropped since the start.
    [[nodiscard]] std::uint64_t total() const { return m_total; }

    /// Returns the counts by event since the last call and resets them; total() is not reset.
    [[nodiscard]] std::map<event_id, std::uint64_t> take() {
        std::map<event_id, std::uint64_t> taken;
        taken.swap(m_by_event);
        return taken;
    }

private:
    std::map<event_id, std::uint64_t> m_by_event;
    std::uint64_t m_total = 0;
};

} // namespace monsoonlift::logging
