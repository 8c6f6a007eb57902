#pragma once

#include "logging/event_log.h"
#include "testing/injected_failure.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace monsoonlift::testing {

/// Counts how often each event was written, keeps the fields of its last line, and throws in place of one
/// write. Thread-safe.
class failing_log final : public logging::event_log {
public:
    void write(logging::event_id id, std::initializer_list<logging::field> fields) override {
        const std::scoped_lock lock(m_mutex);
        ++m_counts[id];
        auto& last = m_last_fields[id];
        last.clear();
        for (const auto& field : fields) {
            last.emplace(field.name, field.value);
        }
        if (m_armed != id || --m_writes_left > 0) {
            return;
        }
        m_armed.reset();
        m_has_failed = true;
        throw injected_failure("the log is armed to fail");
    }

    /// Makes the next write of that event throw, or a later one: the `write`-th from now, counted from 1.
    void arm(logging::event_id id, std::uint64_t write = 1) {
        const std::scoped_lock lock(m_mutex);
        m_armed = id;
        m_writes_left = write;
    }

    /// Whether a write has thrown.
    [[nodiscard]] bool has_failed() const {
        const std::scoped_lock lock(m_mutex);
        return m_has_failed;
    }

    [[nodiscard]] std::uint64_t count(logging::event_id id) const {
        const std::scoped_lock lock(m_mutex);
        const auto found = m_counts.find(id);
        return found == m_counts.end() ? 0 : found->second;
    }

    /// Returns the value of a field in the last line of that event; empty if there is none.
    [[nodiscard]] std::string last_value(logging::event_id id, const std::string& field) const {
        const std::scoped_lock lock(m_mutex);
        const auto line = m_last_fields.find(id);
        if (line == m_last_fields.end()) {
            return {};
        }
        const auto found = line->second.find(field);
        return found == line->second.end() ? std::string() : found->second;
    }

private:
    mutable std::mutex m_mutex;
    std::map<logging::event_id, std::uint64_t> m_counts;
    std::map<logging::event_id, std::map<std::string, std::string>> m_last_fields;
    std::optional<logging::event_id> m_armed;
    std::uint64_t m_writes_left = 0;
    bool m_has_failed = false;
};

} // namespace monsoonlift::testing
