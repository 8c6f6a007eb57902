/// Sends frames over TCP, each prefixed with its length. Each peer has one outgoing connection for small
/// frames and a second one for bulk frames; frames from peers arrive on the connections that the peers open.
/// Each connection has its own strand.
#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "network/acceptor.h"
#include "transport/frame_sender.h"
#include "transport/types/transport_options.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::transport {

/// A frame of which no byte, or only a part, left this daemon.
struct unsent_frame {
    core::attempt_id attempt;
    frame_target from = frame_target::entry; ///< The part of this daemon that sent the frame.
    bool begins_attempt = false; ///< Whether it is the request head, so the peer can't know of the attempt.
};

/// Callbacks of the transport's owner; they must not block. Several threads may call them at once, and
/// `unsent` and `cut` may also be called within send(). Frames that a peer sent on one connection are passed
/// to `received` one at a time, in order.
struct frame_handlers {
    std::function<void(frame)> received;
    std::function<void(const unsent_frame&)> unsent; ///< No byte of the frame left this daemon.
    std::function<void(const unsent_frame&)> cut; ///< The connection broke mid-frame; the frame can't arrive.
    /// Receives frames meant for an earlier incarnation at this address, which are dropped. May be empty.
    std::function<void(const frame&)> misdirected = {};
    /// Receives a frame whose handling ended with an exception, so it has not had all its effects. The
    /// connection goes on with the next frame. May be empty.
    std::function<void(const frame&)> failed = {};
};

/// Frame counts since the start of the transport.
struct transport_counters {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
    std::uint64_t unsent = 0;
    std::uint64_t corrupt = 0;
    std::uint64_t wrong_incarnation = 0;
};

/// The transport of one daemon.
class tcp_transport final : public frame_sender {
public:
    /// Binds the address to listen on; throws boost::system::system_error if that fails.
    tcp_transport(boost::asio::io_context& io, const transport_options& options, core::incarnation life,
                  const core::clock& clock, logging::event_log& log);

    /// Receives frames on the connections that `peers` accepts.
    tcp_transport(boost::asio::io_context& io, const network::listening_acceptor& peers,
                  core::incarnation life, const core::clock& clock, logging::event_log& log);
    tcp_transport(const tcp_transport&) = delete;
    tcp_transport& operator=(const tcp_transport&) = delete;
    /// Destroy the transport only when no thread runs `io` any more.
    ~tcp_transport() override;

    /// Starts receiving; call it once.
    void start(frame_handlers handlers);

    void send(const core::endpoint_id& to, frame message) override;
    /// Returns the advertised address and the incarnation of this daemon.
    [[nodiscard]] core::endpoint_id self() const override;

    /// Closes the outgoing connections to the daemon at `address`, which has left.
    void forget(const std::string& address);

    /// Closes the outgoing connections to the daemon at `address` if nothing is left to write to them. The
    /// daemon seems to be gone; if it isn't, the answers that it waits for still reach it.
    void release(const std::string& address);

    [[nodiscard]] transport_counters counters() const;

private:
    class connections;

    std::unique_ptr<connections> m_connections;
};

} // namespace monsoonlift::transport
