/// Structured logs: each line is one numbered event of the catalogue with named fields.
#pragma once

#include "logging/event_catalogue.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoonlift::logging {

/// One named value of an event.
struct field {
    std::string_view name;
    std::string value;
};

/// Where modules write their events.
class event_log {
public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    virtual ~event_log() = default;

    /// Writes one event. Never waits for a reader. Safe to call from any thread.
    virtual void write(event_id id, std::initializer_list<field> fields) = 0;

    /// Whether a line of that event would be written now; if not, it is counted as left out. Lets a caller on
    /// the path of a request skip the work of composing a line. Safe to call from any thread.
    [[nodiscard]] virtual bool wants(event_id /*id*/) { return true; }

    /// Lines that were not written since the start, to bound the log. Safe to call from any thread.
    [[nodiscard]] virtual std::uint64_t left_out() const { return 0; }
};

} // namespace monsoonlift::logging
