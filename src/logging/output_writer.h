/// Writes lines to a file descriptor on its own thread, so that a reader that stalls or closes its end never
/// delays the threads that log.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::logging {

/// A bounded queue of lines and the thread that writes them.
class output_writer {
public:
    /// `descriptor` must stay open for the writer's lifetime. At most `capacity` lines are queued, and as
    /// many more are being written. `idle` is called about once per second on the writer's thread, whether or
    /// not lines are written; an exception that leaves it is counted and ends that call alone.
    output_writer(int descriptor, std::size_t capacity, std::function<void()> idle);

    /// Waits a limited time for queued lines to be written, then stops; a stalled reader does not block it
    /// longer.
    ~output_writer();
    output_writer(const output_writer&) = delete;
    output_writer& operator=(const output_writer&) = delete;

    /// Queues a line given without its newline; returns false if the queue is full or the reader has closed
    /// its end. Never blocks on the reader. Safe to call from any thread.
    [[nodiscard]] bool push(std::string line);

    /// Whether the reader has closed its end or writing failed; no more lines are accepted then.
    [[nodiscard]] bool is_reader_gone() const;

    /// Number of times that an internal error interrupted the thread since the start.
    [[nodiscard]] std::uint64_t failures() const;

    /// Whether a line can be queued so that `reserved` places of the queue stay free.
    [[nodiscard]] bool has_room(std::size_t reserved) const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace monsoonlift::logging
