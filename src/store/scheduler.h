#pragma once

#include <chrono>
#include <functional>

namespace monsoonlift::store {

/// Runs delayed tasks, one at a time. An interface, so that tests can control time.
class scheduler {
public:
    scheduler() = default;
    scheduler(const scheduler&) = delete;
    scheduler& operator=(const scheduler&) = delete;
    virtual ~scheduler() = default;

    /// Runs `task` once after `delay`, never within this call.
    virtual void after(std::chrono::nanoseconds delay, std::function<void()> task) = 0;
};

} // namespace monsoonlift::store
