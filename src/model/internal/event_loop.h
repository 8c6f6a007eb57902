#pragma once

#include "core/clock.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace monsoonlift::model::internal {

/// An event loop in virtual time: runs actions in the order of their due times.
class event_loop {
public:
    using action = std::function<void()>;

    [[nodiscard]] core::steady_time now() const { return m_now; }

    /// Returns the virtual time since the start.
    [[nodiscard]] std::chrono::nanoseconds elapsed() const { return m_now - start_time; }

    /// Runs `what` after `delay`.
    void after(std::chrono::nanoseconds delay, action what);

    /// Runs all actions due until `end`, a time since the start.
    void run_until(std::chrono::nanoseconds end);

private:
    struct event {
        core::steady_time due;
        std::uint64_t number = 0;
        action what;

        bool operator>(const event& other) const {
            return due != other.due ? due > other.due : number > other.number;
        }
    };

    static constexpr core::steady_time start_time{std::chrono::hours(1)};

    core::steady_time m_now = start_time;
    std::uint64_t m_next_number = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
};

} // namespace monsoonlift::model::internal
