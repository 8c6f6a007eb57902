#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "transport/types/frame.h"

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

/// An encoded frame on its way out.
struct outgoing_frame {
    std::string bytes; ///< With their length before them.
    core::attempt_id attempt;
    frame_target target = frame_target::gate;
    bool begins_attempt = false;
    core::steady_time queued;
};

/// The two ends of a connection to a peer.
struct route {
    std::string address;   ///< Of the peer, "ip:port".
    std::string source_ip; ///< Empty lets the system choose.
};

/// What becomes of frames that a link could not write. Called on the link's strand.
struct link_handlers {
    std::function<void(const outgoing_frame&)> unsent; ///< No byte of it was written.
    std::function<void(const outgoing_frame&)> cut;    ///< Only a part was written when the connection broke.
};

/// One connection to one peer, on which frames only leave. It is made when a frame needs it. Frames wait
/// briefly while it is being made or its queue is full.
class peer_link : public std::enable_shared_from_this<peer_link> {
public:
    peer_link(boost::asio::io_context& io, route way, bool bulk, const core::clock& clock,
              link_handlers handlers);

    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link() = default;

    /// Writes the frame at once if nobody else is at work here and nothing stands before it. Any thread.
    void send(outgoing_frame message);

    /// Reports all frames that have not begun to leave as unsent and closes the connection. Any thread.
    void close();

    /// Closes the connection and says nothing; no thread may use the link any more.
    void abandon();

private:
    enum class phase { idle, connecting, connected, backing_off, closed };
    using strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    void take(outgoing_frame message);
    void connect();
    [[nodiscard]] boost::system::error_code open();
    void connected(const boost::system::error_code& failure);
    void back_off(std::chrono::milliseconds pause);
    void watch_peer();
    void write();
    void write_later();
    void admit_waiting();
    [[nodiscard]] std::size_t write_some();
    void broke();
    void close_socket();
    void expire_later();
    void expire();
    void report_waiting();

    const route m_way;
    const std::size_t m_most_admitted;
    const core::clock& m_clock;
    const link_handlers m_handlers;
    strand m_strand;
    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer
        m_redial; ///< Ends a connect that takes too long, and a pause after a failed one.
    boost::asio::steady_timer m_expiry;
    phase m_phase = phase::idle;
    std::uint64_t m_connection = 0; ///< Tells handlers of an earlier connection from those of this one.
    std::chrono::milliseconds m_pause;
    bool m_writing_later = false;
    bool m_expiry_set = false;
    std::array<char, 1> m_unexpected{};
    std::deque<outgoing_frame> m_admitted; ///< To be written as soon as the peer reads on.
    std::size_t m_front_written = 0;       ///< Bytes of the first admitted frame.
    std::deque<outgoing_frame> m_waiting;
};

} // namespace monsoonlift::transport::internal
