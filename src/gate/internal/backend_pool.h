#pragma once

#include "core/clock.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace monsoonlift::gate::internal {

/// What an answer may take at once before any of it is understood: its head, or the head of a chunk.
inline constexpr std::size_t most_unread_bytes = 256 * 1024;

/// One keep-alive connection to the backend server.
struct backend_connection {
    explicit backend_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

    boost::asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{most_unread_bytes};
    std::string address;
    bool has_answered = false;    ///< An answer was read from it; what comes next may be a copy.
    core::steady_time idle_since; ///< While it is in a pool.
};

/// The endpoint of an "ip:port"; for another text one that refuses every connection.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

/// Idle connections to the backend server. Thread-safe.
class backend_pool {
public:
    using connection = std::shared_ptr<backend_connection>;

    explicit backend_pool(boost::asio::any_io_executor executor);

    /// The connection to `address` used last, if it seems open and has rested no longer than `longest_rest`;
    /// one that has rested longer is closed.
    [[nodiscard]] connection take_idle(const std::string& address, std::chrono::milliseconds longest_rest,
                                       core::steady_time now);

    /// A connection that is yet to be made.
    [[nodiscard]] connection make(const std::string& address) const;

    /// Keeps an open connection for later use; at most `max_idle` are kept.
    void give_back(connection idle, std::size_t max_idle, core::steady_time now);

private:
    boost::asio::any_io_executor m_executor;
    std::mutex m_mutex;
    std::vector<connection> m_idle;
};

} // namespace monsoonlift::gate::internal
