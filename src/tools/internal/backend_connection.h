#pragma once

#include "tools/internal/backend_request.h"
#include "tools/internal/crash_trigger.h"

#include <cstdint>
#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

namespace monsoonlift::tools::internal {

/// One client connection: reads requests, writes answers and detects that the client closed it. For use on
/// the socket's strand only.
class backend_connection {
public:
    /// Takes ownership of a connected socket.
    explicit backend_connection(boost::asio::ip::tcp::socket socket);

    /// The executor on which all operations of this connection run.
    [[nodiscard]] boost::asio::any_io_executor executor() { return m_socket.get_executor(); }

    /// Reads the head of a request; returns false if the connection ends first.
    [[nodiscard]] boost::asio::awaitable<bool> read_head(request_parser& parser);

    /// Reads the body to its end; returns false if the connection ends first. `trigger` scans every byte.
    [[nodiscard]] boost::asio::awaitable<bool> read_body(request_parser& parser, received_request& request,
                                                         crash_trigger& trigger);

    /// Sends 100 Continue, which asks the client to send the body; returns false if that fails.
    [[nodiscard]] boost::asio::awaitable<bool> write_continue();

    /// Writes an answer; returns false if the connection must be closed after it.
    [[nodiscard]] boost::asio::awaitable<bool> write_answer(const received_request& request,
                                                            simple_answer reply);

    /// Writes an answer of `length` bytes derived from the request's token; returns the same as
    /// write_answer().
    [[nodiscard]] boost::asio::awaitable<bool> write_content(const received_request& request,
                                                             std::uint64_t length);

    /// Calls `on_closed` once if the client closes the connection before stop_watching(). Has no effect
    /// unless the request was read completely, and ends when the client sends more data. `on_closed` must
    /// keep this object alive.
    void watch(const request_parser& parser, std::function<void()> on_closed);

    /// Ends the watch for a closed connection; `on_closed` isn't called after it.
    void stop_watching();

    /// Closes both directions.
    void close();

private:
    enum class peer_state { idle, sent_data, closed };

    void wait_for_close(std::uint64_t watch_id, std::function<void()> on_closed);
    [[nodiscard]] peer_state peek_peer_state();

    boost::asio::ip::tcp::socket m_socket;
    boost::beast::flat_buffer m_buffer;
    std::uint64_t m_watch_id = 0;
};

} // namespace monsoonlift::tools::internal
