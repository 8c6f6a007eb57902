#include "core/system_clock.h"

#include <ctime>

namespace monsoonlift::core {

steady_time system_clock::now() const {
    return std::chrono::steady_clock::now();
}

boot_time system_clock::boot_now() const {
    timespec read{};
    ::clock_gettime(CLOCK_BOOTTIME, &read);
    return boot_time(std::chrono::seconds(read.tv_sec) + std::chrono::nanoseconds(read.tv_nsec));
}

wall_time system_clock::wall_now() const {
    return std::chrono::system_clock::now();
}

} // namespace monsoonlift::core
