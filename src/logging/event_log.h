/// Structured log interface: each line is one numbered event of the catalogue with named fields.
#pragma once

#include "logging/event_catalogue.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoonlift::logging {

/// One field of an event.
struct field {
    std::string_view name; ///< A word of letters, digits and underscores; written as it is.
    std::string value;
};

/// Log that modules write their events to.
class event_log {
public:
    event_log() = default;
    event_log(const event_log&) = delete;
    event_log& operator=(const event_log&) = delete;
    virtual ~event_log() = default;

    /// Writes one event. Never blocks on whoever reads the log, and throws nothing: a line that an internal
    /// error keeps from being written counts as left out. Safe to call from any thread.
    virtual void write(event_id id, std::initializer_list<field> fields) = 0;

    /// Whether a line for that event would be written now. A line that the line budget or the output queue
    /// does not allow is counted as left out. Lets code on a request's path skip composing the line. Safe to
    /// call from any thread.
    [[nodiscard]] virtual bool wants(event_id /*id*/) { return true; }

    /// Number of lines left out since the start because of the line budget, the output queue or an internal
    /// error. Safe to call from any thread.
    [[nodiscard]] virtual std::uint64_t left_out() const { return 0; }
};

} // namespace monsoonlift::logging
