#pragma once

#include "core/types/call_ids.h"
#include "transport/types/frame.h"

namespace monsoonlift::transport {

/// Sends frames to other daemons; safe to call from any thread.
class frame_sender {
public:
    frame_sender() = default;
    frame_sender(const frame_sender&) = delete;
    frame_sender& operator=(const frame_sender&) = delete;
    virtual ~frame_sender() = default;

    /// Sends `message` to the daemon incarnation `to`. Does not confirm delivery; a frame that definitely was
    /// not sent is reported to the handler of unsent frames.
    virtual void send(const core::endpoint_id& to, frame message) = 0;

    /// Returns the "ip:port" at which this daemon receives answers, and its incarnation.
    [[nodiscard]] virtual core::endpoint_id self() const = 0;
};

} // namespace monsoonlift::transport
