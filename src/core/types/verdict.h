#pragma once

#include <optional>
#include <string_view>

namespace monsoonlift::core {

/// What is known of whether a request ran on a backend server.
enum class verdict {
    not_run,     ///< It did not run, and no copy of this attempt ever will.
    ran,         ///< It ran; the answer, if one is given, is its own.
    may_have_run ///< Nobody can tell; a non-idempotent request must not be run again.
};

/// The spelling used in headers, frames and logs.
[[nodiscard]] std::string_view to_string(verdict value);

/// The verdict of that spelling, or nothing.
[[nodiscard]] std::optional<verdict> parse_verdict(std::string_view text);

} // namespace monsoonlift::core
