/// How many log lines a process writes in a second. Answers a surge of calls, each of which takes several
/// decisions: lines of ordinary outcomes give way first, those of refusals and failures last.
#pragma once

#include "core/clock.h"

#include <cstdint>

namespace monsoonlift::logging {

/// What a line is worth under pressure.
enum class importance : std::uint8_t {
    routine,  ///< An ordinary outcome; written while at least half of the budget is left.
    important ///< A refusal, a failure or a change of belief; written while anything is left.
};

/// A token bucket of lines.
struct line_budget {
    double lines_per_second = 0;
    double tokens = 0;
    core::steady_time refilled;
};

/// A full budget that allows `lines_per_second`, and twice as many at once after a quiet time.
[[nodiscard]] line_budget make_line_budget(double lines_per_second, core::steady_time now);

/// Whether a line of that importance may be written now.
[[nodiscard]] bool has_room(const line_budget& budget, importance worth, core::steady_time now);

/// Takes one line out of the budget; false if there is no room for it.
[[nodiscard]] bool take_line(line_budget& budget, importance worth, core::steady_time now);

} // namespace monsoonlift::logging
