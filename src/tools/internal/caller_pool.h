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

/// A connection from the load generator to a daemon, used by one attempt at a time.
struct caller_connection {
    explicit caller_connection(boost::asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    bool connected = false;
};

/// Pool of the persistent connections of one thread to one target.
class caller_pool {
public:
    /// Opens at most `limit` connections to `target`.
    caller_pool(boost::asio::io_context& context, boost::asio::ip::tcp::endpoint target, std::size_t limit);

    /// Returns a connection, which may still have to be connected. If all are in use, waits for one until
    /// `deadline` and then returns null.
    boost::asio::awaitable<std::unique_ptr<caller_connection>>
    take(std::chrono::steady_clock::time_point deadline);

    /// Returns a connection to the pool; closes it if it is no longer connected.
    void put(std::unique_ptr<caller_connection> connection);

    /// Address of the daemon that the connections go to.
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
