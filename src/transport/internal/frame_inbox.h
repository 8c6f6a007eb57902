#pragma once

#include "network/acceptor.h"
#include "transport/internal/framing.h"
#include "transport/internal/received_links.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::transport::internal {

/// Callbacks of an inbox. `frame_received` and `over_long` are called on the strand of the connection.
struct inbox_handlers {
    /// Receives a frame and the position in its link, which it advances; returns false to close the
    /// connection.
    std::function<bool(std::string_view, link_position&)> frame_received;
    std::function<void()> over_long; ///< A length prefix exceeds max_frame_bytes.
    /// Receives the reason why accepting failed, and the number of failures not reported since the previous
    /// report. Called on the acceptor's strand.
    std::function<void(const std::string&, std::uint64_t)> not_accepted;
};

/// A connection that only receives frames, one at a time and in order.
class inbound_connection : public std::enable_shared_from_this<inbound_connection> {
public:
    inbound_connection(boost::asio::ip::tcp::socket socket, const inbox_handlers& handlers);
    inbound_connection(const inbound_connection&) = delete;
    inbound_connection& operator=(const inbound_connection&) = delete;
    ~inbound_connection() = default;

    /// Starts reading.
    void start();

    /// Closes the connection; call it only when no thread uses the connection any more.
    void abandon();

private:
    void read();
    [[nodiscard]] bool process_frames();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    const inbox_handlers& m_handlers;
    frame_splitter m_frames;
    link_position m_position;
};

/// Accepts connections from peers. Each connection has its own strand, so worker threads can read several at
/// once.
class frame_inbox {
public:
    explicit frame_inbox(network::listening_acceptor peers);
    frame_inbox(const frame_inbox&) = delete;
    frame_inbox& operator=(const frame_inbox&) = delete;
    /// Destroy the inbox only when no thread runs the io_context any more.
    ~frame_inbox();

    /// Starts accepting; call it once.
    void start(inbox_handlers handlers);

private:
    void accepted(boost::asio::ip::tcp::socket socket);

    network::listening_acceptor m_peers;
    inbox_handlers m_handlers;
    std::vector<std::weak_ptr<inbound_connection>> m_connections;
};

} // namespace monsoonlift::transport::internal
