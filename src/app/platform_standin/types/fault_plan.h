#pragma once

#include <chrono>

namespace monsoonlift::platform_standin {

/// The faults to inject; none by default.
struct fault_plan {
    bool outage = false;               ///< Every call of the object API is refused with 503.
    bool silent = false;               ///< During an outage, calls get no answer rather than 503.
    std::chrono::milliseconds slow{0}; ///< Time from the effect of a call to its answer.
    double lose_answers = 0; ///< Share of writes, 0 to 1, that take effect but whose answer is lost.
};

} // namespace monsoonlift::platform_standin
