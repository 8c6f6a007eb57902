#pragma once

#include <optional>
#include <string_view>

namespace monsoonlift::core {

/// Whether a request is known to have run on a backend server.
enum class verdict {
    not_run,     ///< The request did not run, and no copy of this attempt will ever run.
    ran,         ///< The request ran; the answer, if there is one, is that of this run.
    may_have_run ///< Unknown; a non-idempotent request must not be run again.
};

/// Returns the text form used in headers, frames and logs.
[[nodiscard]] std::string_view to_string(verdict value);

/// Parses the text form; returns nothing if the text is not a verdict.
[[nodiscard]] std::optional<verdict> parse_verdict(std::string_view text);

} // namespace monsoonlift::core
