#pragma once

#include "tools/internal/backend_request.h"
#include "tools/internal/crash_marker.h"

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace monsoonlift::tools::internal {

/// The bytes of one connection: reads requests, writes answers, and notices that the client closed it. Used
/// on the socket's strand.
class backend_connection {
public:
    /// Takes over an open connection.
    explicit backend_connection(boost::asio::ip::tcp::socket socket);

    /// Where all of this connection runs.
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Reads up to the end of a head; false when the connection ends.
    [[nodiscard]] boost::asio::awaitable<bool> read_head(request_parser& parser);

    /// Reads the body to its end; false when the connection ends first. `marker` sees every byte.
    [[nodiscard]] boost::asio::awaitable<bool> read_body(request_parser& parser, received_request& request,
                                                         crash_marker& marker);

    /// Asks the client to send the body.
    [[nodiscard]] boost::asio::awaitable<bool> write_continue();

    /// Writes an answer; false if the connection ends with it.
    [[nodiscard]] boost::asio::awaitable<bool> write_answer(const received_request& request,
                                                            short_answer given);

    /// Writes an answer of `length` bytes that its token alone determines; false as for write_answer().
    [[nodiscard]] boost::asio::awaitable<bool> write_content(const received_request& request,
                                                             std::uint64_t length);

    /// Calls `on_gone` once if the client closes the connection while its request waits or runs. `on_gone`
    /// must keep this object alive.
    void watch(const request_parser& parser, std::function<void()> on_gone);

    /// Ends the watch.
    void stop_watching();

    /// Closes both directions.
    void close();

private:
    enum class peer_state { quiet, spoke, closed };

    void wait_for_close(std::uint64_t watch, std::function<void()> on_gone);
    [[nodiscard]] peer_state look_at_peer();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::uint64_t m_watch = 0;
};

} // namespace monsoonlift::tools::internal
