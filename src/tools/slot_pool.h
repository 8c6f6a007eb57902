#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace monsoonlift::tools {

/// The slots of a simulated backend server and its queue, which is first in, first out like a real server's.
/// Thread-safe; calls handlers without holding its lock.
class slot_pool {
public:
    /// Called once when a queued ticket gets a slot, on the thread that released the slot.
    using granted_handler = std::function<void()>;

    /// Creates a pool in which all slots are free.
    explicit slot_pool(std::uint32_t slots);

    /// Takes a free slot and returns true, or queues `ticket`, which gets its slot when `granted` is called.
    [[nodiscard]] bool acquire(std::uint64_t ticket, granted_handler granted);

    /// Removes `ticket` from the queue; returns false if its slot was already granted and must be released.
    [[nodiscard]] bool abandon(std::uint64_t ticket);

    /// Frees a slot or, if the queue isn't empty, grants it to the first ticket in the queue.
    void release();

    /// Number of slots in use.
    [[nodiscard]] std::uint32_t running() const;

    /// Number of tickets in the queue.
    [[nodiscard]] std::size_t waiting() const;

private:
    struct waiter {
        std::uint64_t ticket = 0;
        granted_handler granted;
    };

    mutable std::mutex m_mutex;
    std::uint32_t m_slots;
    std::uint32_t m_running = 0;
    std::deque<waiter> m_queue;
};

} // namespace monsoonlift::tools
