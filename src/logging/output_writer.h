/// Writes lines to a file descriptor on a thread of its own, so that a reader who stalls or goes away never
/// delays whoever has something to log.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::logging {

/// A bounded queue of lines and the thread that writes them.
class output_writer {
public:
    /// `descriptor` stays open for the writer's lifetime. At most `capacity` lines wait, and as many more are
    /// being written. `idle` is called about once a second on the writer's thread, written to or not.
    output_writer(int descriptor, std::size_t capacity, std::function<void()> idle);

    /// Gives the lines that wait a moment to leave, then stops; never waits for a reader that has stalled.
    ~output_writer();
    output_writer(const output_writer&) = delete;
    output_writer& operator=(const output_writer&) = delete;

    /// Queues a line, without its newline; false if the queue is full or the reader is gone. Never blocks on
    /// the reader. Safe to call from any thread.
    [[nodiscard]] bool push(std::string line);

    /// Whether the reader has closed its end; no line is taken any more.
    [[nodiscard]] bool is_reader_gone() const;

    /// Whether a line would be taken while leaving that many places free.
    [[nodiscard]] bool has_room(std::size_t kept_free) const;

private:
    struct state;

    std::shared_ptr<state> m_state;
};

} // namespace monsoonlift::logging
