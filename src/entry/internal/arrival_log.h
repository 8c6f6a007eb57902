/// Tells when the bytes of a connection could have been read, although they may be read later.
#pragma once

#include "core/clock.h"

#include <cstddef>
#include <vector>

namespace monsoonlift::entry::internal {

/// Follows the bytes of a connection from the socket through the read buffer. Bytes that the socket was seen
/// to hold count from the first look that showed them, all others from the moment at which they were read.
class arrival_log {
public:
    /// Notes that the socket holds `unread` bytes.
    void seen(std::size_t unread, core::steady_time now);

    /// Notes that `bytes` bytes were moved from the socket to the buffer.
    void read(std::size_t bytes, core::steady_time now);

    /// Takes `bytes` bytes from the buffer, at least one, and returns when the last of them had arrived;
    /// `now` if the buffer holds none.
    core::steady_time consume(std::size_t bytes, core::steady_time now);

    /// Starts over with `buffered` bytes in the buffer that arrived now.
    void reset(std::size_t buffered, core::steady_time now);

private:
    /// Bytes that arrived by the same look or read.
    struct stretch {
        std::size_t bytes = 0;
        core::steady_time arrived;
    };

    void add_buffered(std::size_t bytes, core::steady_time arrived);

    std::vector<stretch> m_unread;   ///< Bytes seen in the socket, oldest first.
    std::vector<stretch> m_buffered; ///< Bytes in the buffer, oldest first.
};

} // namespace monsoonlift::entry::internal
