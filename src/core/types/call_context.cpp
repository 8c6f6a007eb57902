#include "core/types/call_context.h"

namespace monsoonlift::core {

std::chrono::nanoseconds time_left(const call_context& context, steady_time now) {
    if (now >= context.deadline) {
        return std::chrono::nanoseconds::zero();
    }
    return context.deadline - now;
}

} // namespace monsoonlift::core
