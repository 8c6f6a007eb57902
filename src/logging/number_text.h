#pragma once

#include <chrono>
#include <string>

namespace monsoonlift::logging {

/// Formats a duration as milliseconds with three decimals, such as "12.345".
[[nodiscard]] std::string milliseconds_text(std::chrono::nanoseconds time);

} // namespace monsoonlift::logging
