#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "transport/types/frame.h"
#include "transport/types/loss_reason.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace monsoonlift::transport::internal {

/// An encoded frame that is queued for sending.
struct outgoing_frame {
    std::string bytes; ///< The frame with its length prefix.
    core::attempt_id attempt;
    frame_target target = frame_target::gate;
    bool begins_attempt = false;
    core::steady_time queued;
};

/// The two ends of a connection to a peer.
struct route {
    std::string address;   ///< "ip:port" of the peer.
    std::string source_ip; ///< Source IP of the connection; empty lets the system choose.
};

/// Callbacks for frames that a link could not write completely. Called on the link's strand.
struct link_handlers {
    std::function<void(const outgoing_frame&, loss_reason)> unsent; ///< No byte of the frame was written.
    std::function<void(const outgoing_frame&)> cut; ///< The connection broke after a part was written.
    /// Receives why a connect failed and how long it took.
    std::function<void(const std::string&, std::chrono::nanoseconds)> not_connected;
};

/// An outgoing connection to one peer; it only sends frames. The connection is opened when a frame needs it.
/// Frames wait briefly while it is being opened or while its send queue is full.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::io_context& io, route endpoints, bool bulk, const core::clock& clock,
              link_handlers handlers);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() = default;

    /// Sends the frame, immediately if no other thread runs on the strand and no earlier frame is queued. May
    /// be called from any thread.
    void send(outgoing_frame message);

    /// Closes the connection and reports all frames of which no byte was written as unsent. May be called
    /// from any thread.
    void close();

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
    void connected(const boost::system::error_code& failure);
    void back_off(std::chrono::milliseconds pause);
    void watch_peer();
    void write();
    void write_later();
    void admit_waiting();
    [[nodiscard]] std::size_t write_some();
    void on_disconnected();
    void close_socket();
    void expire_later();
    void expire();
    void report_waiting();

    const route m_route;
    const std::size_t m_max_admitted;
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
    bool m_writing_later = false;
    bool m_expiry_set = false;
    std::array<char, 1> m_unexpected{};
    std::deque<outgoing_frame> m_admitted; ///< Frames to write as soon as the socket accepts more bytes.
    std::size_t m_front_written = 0;       ///< Bytes of the first admitted frame that were written.
    std::deque<outgoing_frame> m_waiting;
};

} // namespace monsoonlift::transport::internal
