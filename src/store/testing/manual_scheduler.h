#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "core/clock.h"
#include "store/scheduler.h"
#include "testing/manual_clock.h"

namespace monsoonlift::store::testing {

/// A scheduler that runs tasks only when a test advances it; it advances the clock as well.
class manual_scheduler final : public scheduler {
public:
    explicit manual_scheduler(monsoonlift::testing::manual_clock& clock);

    void after(std::chrono::nanoseconds delay, std::function<void()> task) override;

    /// Runs the tasks that are due within `span`, in order, and advances the clock by `span`.
    void run_for(std::chrono::nanoseconds span);

    /// Runs tasks in order until `reached` returns true; returns false if that takes more than `longest` or
    /// no task is left.
    bool run_until(const std::function<bool()>& reached, std::chrono::nanoseconds longest);

private:
    using due_key = std::pair<core::steady_time, std::uint64_t>;

    bool run_next(core::steady_time last);

    monsoonlift::testing::manual_clock& m_clock;
    std::map<due_key, std::function<void()>> m_tasks;
    std::uint64_t m_added = 0;
};

} // namespace monsoonlift::store::testing
