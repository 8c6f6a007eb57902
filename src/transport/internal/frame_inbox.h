#pragma once

#include "network/acceptor.h"
#include "transport/internal/framing.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::transport::internal {

/// What an inbox does with what comes in. Called on the strand of one connection.
struct inbox_handlers {
    std::function<bool(std::string_view)> taken; ///< False if the connection makes no sense.
    std::function<void()> over_long;             ///< A frame longer than allowed was announced.
    /// Why, and how many failures were left out since the last that was told; on the acceptor's strand.
    std::function<void(const std::string&, std::uint64_t)> not_accepted;
};

/// A connection on which frames only arrive, one at a time and in order.
class inbound_connection : public std::enable_shared_from_this<inbound_connection> {
public:
    inbound_connection(boost::asio::ip::tcp::socket socket, const inbox_handlers& handlers);
    inbound_connection(const inbound_connection&) = delete;
    inbound_connection& operator=(const inbound_connection&) = delete;
    ~inbound_connection() = default;

    /// Begins to read.
    void start();

    /// Closes the connection; no thread may use it any more.
    void abandon();

private:
    void read();
    [[nodiscard]] bool take_frames();
    void close();

    boost::asio::ip::tcp::socket m_socket;
    const inbox_handlers& m_handlers;
    frame_splitter m_frames;
};

/// Accepts the connections of peers. Each has a strand of its own, so that workers read several at once.
class frame_inbox {
public:
    explicit frame_inbox(network::listening_acceptor peers);
    frame_inbox(const frame_inbox&) = delete;
    frame_inbox& operator=(const frame_inbox&) = delete;
    /// No thread may run the io_context any more.
    ~frame_inbox();

    /// Begins to accept; call it once.
    void start(inbox_handlers handlers);

private:
    void accepted(boost::asio::ip::tcp::socket socket);

    network::listening_acceptor m_peers;
    inbox_handlers m_handlers;
    std::vector<std::weak_ptr<inbound_connection>> m_connections;
};

} // namespace monsoonlift::transport::internal
