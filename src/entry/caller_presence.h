/// Decides whether a caller whose answer is pending is still there, from a look at the unread bytes of its
/// connection. An error that says nothing about the connection must not end work that runs.
#pragma once

#include <cstdint>

namespace monsoonlift::entry {

/// What a look at the unread bytes of a connection tells.
enum class caller_presence {
    unknown,    ///< Nothing to read, or the look failed for a reason of this machine: look again later.
    sends_more, ///< Bytes of a further request have arrived.
    gone        ///< The caller closed its side, or the connection broke.
};

/// Reads the result of a recv() with MSG_PEEK; `error` is its errno, meaningful for a negative `received`.
[[nodiscard]] caller_presence presence_from_peek(std::int64_t received, int error);

} // namespace monsoonlift::entry
