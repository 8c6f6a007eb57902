#pragma once

#include "core/clock.h"
#include "logging/event_log.h"

#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::logging {

/// Returns the catalogue entry of an event, or nullptr if there is none.
[[nodiscard]] const event_description* describe(event_id id);

/// Returns the name of a severity as used in log lines and settings.
[[nodiscard]] std::string_view to_string(severity level);

/// Formats a time as "2026-03-12T19:04:05.123456Z"; sorting such texts sorts them by time.
[[nodiscard]] std::string utc_text(core::wall_time when);

/// Formats one log line, without newline:
/// {"time":"...","event":1000,"name":"process_started","severity":"info","process":"...", fields...}.
[[nodiscard]] std::string format_event(core::wall_time when, event_id id, std::string_view process,
                                       std::span<const field> fields);

} // namespace monsoonlift::logging
