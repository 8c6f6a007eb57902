#pragma once

#include <chrono>

namespace monsoonlift::platform_standin {

/// Faults that are switched on; the default is none.
struct fault_plan {
    bool outage = false;               ///< Every call of the object API is refused with 503.
    bool silent = false;               ///< In an outage: no answer at all instead of 503.
    std::chrono::milliseconds slow{0}; ///< Answers leave this long after the effect.
    double lose_answers = 0;           ///< Share of writes whose answer is lost after the effect.
};

} // namespace monsoonlift::platform_standin
