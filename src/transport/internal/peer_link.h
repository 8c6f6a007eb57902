#pragma once

#include "core/clock.h"
#include "transport/internal/send_queue.h"
#include "transport/types/loss_reason.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace monsoonlift::transport::internal {

/// The two ends of a connection to a peer.
struct route {
    std::string address;                       ///< "ip:port" of the peer.
    std::string source_ip;                     ///< Source IP of the connection; empty lets the system choose.
    std::chrono::milliseconds silence_timeout; ///< See transport_options.
};

/// Callbacks for frames that a link could not write completely. Called on the link's strand.
struct link_handlers {
    std::function<void(const outgoing_frame&, loss_reason)> unsent; ///< No byte of the frame was written.
    std::function<void(const outgoing_frame&)> cut; ///< Only a part was written, to a connection that broke.
    /// Receives why a connect failed and how long it took.
    std::function<void(const std::string&, std::chrono::nanoseconds)> not_connected;
};

/// Which link of this daemon it is.
struct link_identity {
    std::uint64_t number = 0; ///< Not used for another link of this daemon.
    core::incarnation sender; ///< This daemon.
    bool bulk = false;
};

/// An outgoing connection to one peer; it only sends frames. The connection is opened when a frame needs it.
/// Frames wait while it is being opened or while its send queue is full. When it breaks, frames that may not
/// have arrived are sent again on the next one, where the peer drops those that it has received.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::io_context& io, route endpoints, const link_identity& identity,
              const core::clock& clock, link_handlers handlers);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() = default;

    /// Sends the frame, immediately if no other thread runs on the strand and no earlier frame is queued. May
    /// be called from any thread.
    void send(outgoing_frame message);

    /// Closes the connection and reports all frames of which no byte was written as unsent. May be called
    /// from any thread.
    void close();

    /// Closes the connection unless frames are held that may still have to be written; a later frame opens
    /// another one. May be called from any thread.
    void close_if_idle();

    /// Closes the connection without reporting any frame; call it only when no thread uses the link any
    /// more.
    void abandon();

private:
    enum class phase { idle, connecting, connected, backing_off, closed };
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    void enqueue(outgoing_frame message);
    void connect();
    [[nodiscard]] boost::system::error_code open();
    void fail_connect(const boost::system::error_code& failure);
    void connect_timed_out();
    void connected(const boost::system::error_code& failure);
    void back_off(std::chrono::milliseconds pause);
    void watch_peer();
    void write();
    void write_later();
    [[nodiscard]] std::string_view next_bytes();
    [[nodiscard]] bool write_some(std::string_view bytes);
    void wrote(std::size_t count);
    [[nodiscard]] std::string opening();
    void on_disconnected();
    void close_socket();
    void expire_later();
    void expire();
    void report_waiting();
    void report(const outgoing_frame& lost, loss_reason why);

    const route m_route;
    const link_identity m_identity;
    const core::clock& m_clock;
    const link_handlers m_handlers;
    strand m_strand;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_connect_timer; ///< Limits a connect and the pause before the next one.
    boost::asio::steady_timer m_expiry;
    phase m_phase = phase::idle;
    core::steady_time m_connect_began;
    std::uint64_t m_connection = 0; ///< Lets handlers of an earlier connection detect that they are obsolete.
    std::chrono::milliseconds m_pause;
    std::chrono::milliseconds m_connect_timeout;
    bool m_writing_later = false;
    core::steady_time m_next_expiry = core::steady_time::max();
    std::array<char, 1> m_unexpected{};
    std::string m_opening; ///< Rest of the frame that opens the connection.
    send_queue m_queue;
};

} // namespace monsoonlift::transport::internal
