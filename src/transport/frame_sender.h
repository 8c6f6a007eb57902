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

    /// Sends `message` to that life of a daemon. Says nothing of arrival; a frame that surely was not sent is
    /// reported to the handler of unsent frames.
    virtual void send(const core::endpoint_id& to, frame message) = 0;

    /// "ip:port" under which answers reach this daemon, and its life.
    [[nodiscard]] virtual core::endpoint_id self() const = 0;
};

} // namespace monsoonlift::transport
