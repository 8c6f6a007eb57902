/// Time as a dependency: every rule reads the clock it was given, so tests set the time.
#pragma once

#include <chrono>

namespace monsoonlift::core {

/// A point on the monotonic clock; used for every interval and every guard on time.
using steady_time = std::chrono::steady_clock::time_point;

/// A point of wall time; used for what people read and for keys that carry their time of issue.
using wall_time = std::chrono::system_clock::time_point;

/// Source of both times.
class clock {
public:
    clock() = default;
    clock(const clock&) = delete;
    clock& operator=(const clock&) = delete;
    virtual ~clock() = default;

    /// The monotonic time now.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// The wall time now.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

} // namespace monsoonlift::core
