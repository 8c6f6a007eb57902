/// Frames of one link to a peer: those that wait, those that are being written, and those written a short
/// time ago, which are written again if the connection breaks.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "transport/types/frame.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::transport::internal {

/// A frame that gets no connection within this time is given up, unless it says otherwise.
constexpr std::chrono::milliseconds default_queue_time{250};

/// How much of a frame was written to a connection.
enum class write_progress {
    none,  ///< No byte, so the peer can't have received it.
    begun, ///< A part, on a connection that has ended since; the peer drops it.
    whole  ///< All bytes; the peer may have received it.
};

/// An encoded frame that is queued for sending.
struct outgoing_frame {
    std::string bytes; ///< The frame with its length prefix.
    core::attempt_id attempt;
    frame_target target = frame_target::gate;
    bool begins_attempt = false;
    core::steady_time encoded; ///< The time at which the time left in the frame was right.
    core::steady_time expires; ///< The frame is given up if it can't be sent until then.
    write_progress progress = write_progress::none;
    core::steady_time written = {}; ///< When its last byte was written.
    std::size_t encoded_bytes = 0;  ///< Size of `bytes` without the hold-up added at writing; 0 if none was.
};

/// Limits of a queue.
struct send_limits {
    std::size_t max_admitted = 512; ///< Frames that no longer expire while a connection accepts bytes slowly.
    std::size_t max_waiting = 512;  ///< Frames that wait behind those.
    std::size_t max_kept_bytes = 64 * 1024; ///< Frames kept to be written again.
};

/// Holds the frames of one link in the order in which they are sent. Not thread-safe.
class send_queue {
public:
    explicit send_queue(const send_limits& limits) : m_limits(limits) {}

    /// Whether add() takes another frame.
    [[nodiscard]] bool is_full() const { return m_waiting.size() >= m_limits.max_waiting; }
    void add(outgoing_frame added);

    /// Takes frames that wait among those being written, as far as there is room; these no longer expire.
    void admit();

    /// Returns the bytes to write next to the open connection; empty if there are none.
    [[nodiscard]] std::string_view next_bytes(core::steady_time now);

    /// Records that `count` of the bytes returned by next_bytes() were written.
    void wrote(std::size_t count, core::steady_time now);

    /// Prepares for another connection, as the current one has ended: frames that may not have arrived are
    /// written again.
    void rewind(core::steady_time now);

    /// Begins a connection and returns the number of its first frame.
    [[nodiscard]] std::uint64_t begin_connection();

    /// Number of the frame that the next connection begins with.
    [[nodiscard]] std::uint64_t first_sequence() const { return m_first_sequence; }

    /// Removes and returns frames that have waited too long. Frames that the peer may have received are
    /// removed silently.
    [[nodiscard]] std::vector<outgoing_frame> expire(core::steady_time now);

    /// Removes and returns all frames that the peer can't have received.
    [[nodiscard]] std::vector<outgoing_frame> take_unwritten();

    /// Whether frames wait for a connection or for room among those being written.
    [[nodiscard]] bool has_waiting() const { return !m_waiting.empty(); }

    /// Whether anything is left that expire() may remove.
    [[nodiscard]] bool is_empty() const { return m_waiting.empty() && m_admitted.empty() && m_kept.empty(); }

private:
    void keep(outgoing_frame written);
    void forget_oldest_kept();
    void forget_old(core::steady_time now);
    void forget_unwritable(core::steady_time now);

    const send_limits m_limits;
    bool m_is_connected = false;       ///< From begin_connection() to rewind().
    std::deque<outgoing_frame> m_kept; ///< Written to the current connection, oldest first.
    std::size_t m_kept_bytes = 0;
    std::deque<outgoing_frame> m_admitted; ///< The first of them may be written in part.
    std::size_t m_front_written = 0;       ///< Bytes of the first admitted frame that were written.
    std::deque<outgoing_frame> m_waiting;  ///< Those to be written again come first.
    std::uint64_t m_first_sequence = 1;    ///< Number of the oldest frame that was written and is still held.
};

} // namespace monsoonlift::transport::internal
