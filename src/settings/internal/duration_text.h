#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace monsoonlift::settings::internal {

/// Parses a duration such as "250ms", "6.5s", "10m" or "2h", rounded to whole milliseconds; returns nothing
/// if it is malformed or its number is negative or exceeds 10^9.
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(const std::string& text);

/// Formats a duration in a form that parse_duration() accepts: in seconds if it is a whole number of them,
/// else in milliseconds.
[[nodiscard]] std::string format_duration(std::chrono::milliseconds value);

} // namespace monsoonlift::settings::internal
