#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace monsoonlift::tools::internal {

/// One caller's connection.
struct caller_connection {
    explicit caller_connection(boost::asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool connected = false;
};

/// Kept connections of one thread to one target, at most a given number.
class caller_pool {
public:
    /// Connections go to `target`.
    caller_pool(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint target, std::size_t limit);

    /// A connection, which may still have to be connected; waits until `deadline` while all are in use and
    /// gives none after it.
    boost::asio::awaitable<std::unique_ptr<caller_connection>>
    take(std::chrono::steady_clock::time_point deadline);

    /// Gives a connection back; one that is not usable any more is closed.
    void put(std::unique_ptr<caller_connection> connection);

    /// Where the connections go.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& target() const { return m_target; }

private:
    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::endpoint m_target;
    std::size_t m_limit;
    std::size_t m_open = 0;
    std::vector<std::unique_ptr<caller_connection>> m_idle;
    std::deque<std::shared_ptr<boost::asio::steady_timer>> m_waiters;
};

} // namespace monsoonlift::tools::internal
