/// Limits the log lines that a process writes per second. In a surge of calls, each of which logs several
/// decisions, lines about ordinary outcomes are dropped first, those about refusals and failures last.
#pragma once

#include "core/clock.h"

#include <cstdint>

namespace monsoonlift::logging {

/// Priority of a log line when the budget runs low.
enum class importance : std::uint8_t {
    routine,  ///< An ordinary outcome; written only while at least half of the budget is left.
    important ///< A refusal, failure or state change; written while any budget is left.
};

/// Token bucket in which one token is one line.
struct line_budget {
    double lines_per_second = 0;
    double tokens = 0;
    core::steady_time refilled; ///< When `tokens` was last updated.
};

/// Returns a full budget that allows `lines_per_second`, and a burst of twice as many lines after an idle
/// period.
[[nodiscard]] line_budget make_line_budget(double lines_per_second, core::steady_time now);

/// Whether a line of that importance may be written now; takes no token.
[[nodiscard]] bool has_room(const line_budget& budget, importance line_importance, core::steady_time now);

/// Takes one line out of the budget; returns false if the budget does not allow it.
[[nodiscard]] bool take_line(line_budget& budget, importance line_importance, core::steady_time now);

} // namespace monsoonlift::logging
