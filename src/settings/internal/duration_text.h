#pragma once

#include <chrono>
#include <optional>
#include <string>

namespace monsoonlift::settings::internal {

/// Reads "250ms", "5s", "10m" or "2h".
[[nodiscard]] std::optional<std::chrono::milliseconds> parse_duration(const std::string& text);

/// The shortest spelling that parse_duration reads back.
[[nodiscard]] std::string format_duration(std::chrono::milliseconds value);

} // namespace monsoonlift::settings::internal
