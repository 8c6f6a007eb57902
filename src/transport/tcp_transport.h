/// Frames over TCP, each after its length. For each peer there is a connection that sends, with a second one
/// for bulk frames; what peers send comes in on the connections that they make. Each connection has its own
/// strand.
#pragma once

#include "core/clock.h"
#include "logging/event_log.h"
#include "network/acceptor.h"
#include "transport/frame_sender.h"
#include "transport/types/transport_addresses.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::transport {

/// A frame that did not leave this daemon, or not whole.
struct unsent_frame {
    core::attempt_id attempt;
    frame_target from = frame_target::entry; ///< The part of this daemon that sent it.
    bool begins_attempt = false;             ///< Whether the other side can't know of the attempt.
};

/// What the owner does with frames. Called by several threads at once, `unsent` and `cut` also from within
/// send(); must not block. Frames that a peer sent on one connection are handed over one after another, in
/// order.
struct frame_handlers {
    std::function<void(frame)> received;
    std::function<void(const unsent_frame&)> unsent; ///< Surely no byte of the frame left this daemon.
    std::function<void(const unsent_frame&)> cut; ///< The connection broke amid the frame; it can't arrive.
};

/// Totals since the start.
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
    tcp_transport(boost::asio::io_context& io, const transport_addresses& addresses, core::incarnation life,
                  const core::clock& clock, logging::event_log& log);

    /// Takes the connections of peers that `peers` accepts.
    tcp_transport(boost::asio::io_context& io, const network::listening_acceptor& peers,
                  core::incarnation life, const core::clock& clock, logging::event_log& log);
    tcp_transport(const tcp_transport&) = delete;
    tcp_transport& operator=(const tcp_transport&) = delete;
    /// No thread may run `io` any more.
    ~tcp_transport() override;

    /// Begins to receive; call it once.
    void start(frame_handlers handlers);

    void send(const core::endpoint_id& to, frame message) override;
    /// Carries the advertised address.
    [[nodiscard]] core::endpoint_id self() const override;

    /// Closes the connections to a daemon that is gone.
    void forget(const std::string& address);

    /// Counts since the start.
    [[nodiscard]] transport_counters counters() const;

private:
    class connections;

    std::unique_ptr<connections> m_connections;
};

} // namespace monsoonlift::transport
