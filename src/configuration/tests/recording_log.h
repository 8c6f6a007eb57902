#pragma once

#include <algorithm>
#include <initializer_list>
#include <mutex>
#include <optional>
#include <stdexcept>
#include <vector>

#include "logging/event_log.h"

namespace monsoonlift::configuration::tests {

/// Event log that records the ids of the events written, to count them.
class recording_log final : public logging::event_log {
public:
    void write(logging::event_id id, std::initializer_list<logging::field>) override {
        const std::lock_guard lock(m_mutex);
        if (fail_once == id) {
            fail_once.reset();
            throw std::runtime_error("no memory left");
        }
        m_events.push_back(id);
    }

    [[nodiscard]] std::size_t count(logging::event_id id) const {
        const std::lock_guard lock(m_mutex);
        return static_cast<std::size_t>(std::count(m_events.begin(), m_events.end(), id));
    }

    std::optional<logging::event_id> fail_once; ///< The next event with this id throws.

private:
    mutable std::mutex m_mutex;
    std::vector<logging::event_id> m_events;
};

} // namespace monsoonlift::configuration::tests
