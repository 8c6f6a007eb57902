/// Clock interface. Code that needs the time reads an injected clock, so that tests can control it.
#pragma once

#include <chrono>

namespace monsoonlift::core {

/// A point on the monotonic clock; used for all intervals and time limits.
using steady_time = std::chrono::steady_clock::time_point;

/// Time since the start of the operating system, which also passes while the VM is suspended.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;
};

/// A point on the clock that goes on while the VM is suspended; used for leases and for the age of what other
/// daemons may have changed meanwhile.
using boot_time = boot_clock::time_point;

/// A point of wall-clock time; used in output for people and in keys that contain their time of issue.
using wall_time = std::chrono::system_clock::time_point;

/// Source of the monotonic and the wall-clock time.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// Returns the current monotonic time.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// Returns the time since the start of the operating system, suspensions included. Clocks that know of no
    /// suspension go by the monotonic time.
    [[nodiscard]] virtual boot_time boot_now() const { return boot_time(now().time_since_epoch()); }

    /// Returns the current wall-clock time.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace monsoonlift::core
