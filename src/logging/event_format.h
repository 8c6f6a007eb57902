#pragma once

#include "core/clock.h"
#include "logging/event_log.h"

#include <span>
#include <string>
#include <string_view>

namespace monsoonlift::logging {

/// The catalogue's description of an event, or nullptr if it has none.
[[nodiscard]] const event_description* describe(event_id id);

/// The spelling of a severity in lines and settings.
[[nodiscard]] std::string_view to_string(severity level);

/// "2026-03-12T19:04:05.123456Z"; texts of this form sort by time.
[[nodiscard]] std::string utc_text(core::wall_time when);

/// One line: {"time":"...","event":1000,"name":"process_started","severity":"info","process":"...",
/// fields...}.
[[nodiscard]] std::string format_event(core::wall_time when, event_id id, std::string_view process,
                                       std::span<const field> fields);

} // namespace monsoonlift::logging
