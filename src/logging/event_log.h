/// Structured logs: each line is one numbered event of the catalogue with named fields.
#pragma once

#include "logging/event_catalogue.h"

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

    /// Writes one event. Safe to call from any thread.
    virtual void write(event_id id, std::initializer_list<field> fields) = 0;
};

} // namespace monsoonlift::logging
