#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>

namespace monsoonlift::tools {

/// The slots of a server and its queue, first in first out, as a real server has them. Thread-safe; its lock
/// is held over no call to others.
class slot_pool {
public:
    /// Called once, on the thread that released the slot.
    using granted_handler = std::function<void()>;

    /// Creates a pool of free slots.
    explicit slot_pool(std::uint32_t slots);

    /// Takes a slot at once (true), or queues `ticket` until `granted` is called.
    [[nodiscard]] bool acquire(std::uint64_t ticket, granted_handler granted);

    /// Leaves the queue; false if the slot was granted already and must be released.
    [[nodiscard]] bool abandon(std::uint64_t ticket);

    /// Gives a slot back, to the first in the queue if there is one.
    void release();

    /// Slots in use.
    [[nodiscard]] std::uint32_t running() const;

    /// Length of the queue.
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
