#pragma once

#include "logging/event_catalogue.h"

#include <cstdint>
#include <map>

namespace monsoonlift::logging {

/// Lines that were not written, by event. Thread-safety is the owner's.
class left_out_counts {
public:
    /// Counts a line that was not written.
    void add(event_id id) {
        ++m_by_event[id];
        ++m_total;
    }

    [[nodiscard]] bool empty() const { return m_by_event.empty(); }

    /// Lines left out since the start.
    [[nodiscard]] std::uint64_t total() const { return m_total; }

    /// The counts since the last call, which starts them anew.
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
