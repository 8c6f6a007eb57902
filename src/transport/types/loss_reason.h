#pragma once

#include <cstdint>
#include <string_view>

namespace monsoonlift::transport {

/// Why the transport gave up a frame.
enum class loss_reason : std::uint8_t {
    expired,     ///< It waited too long for a connection or for room in the send queue.
    queue_full,  ///< Too many frames waited already.
    link_closed, ///< The peer has left, so the link to it was closed.
    over_long,   ///< The frame is longer than peers accept.
    link_broken  ///< The connection ended after a part of the frame was written.
};

/// The spelling used in logs.
[[nodiscard]] std::string_view to_string(loss_reason reason);

} // namespace monsoonlift::transport
