#pragma once

#include "logging/event_log.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace monsoonlift::logging {

/// The catalogue's description of an event, or nullptr if it has none.
[[nodiscard]] const event_description* describe(event_id id);

/// One line: {"event":1000,"name":"process_started","severity":"info","process":"...", fields...}.
[[nodiscard]] std::string format_event(event_id id, std::string_view process,
                                       std::initializer_list<field> fields);

} // namespace monsoonlift::logging
