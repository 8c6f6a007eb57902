#include "core/system_clock.h"

namespace monsoonlift::core {

steady_time system_clock::now() const {
    return std::chrono::steady_clock::now();
}

wall_time system_clock::wall_now() const {
    return std::chrono::system_clock::now();
}

} // namespace monsoonlift::core
