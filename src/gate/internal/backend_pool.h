#pragma once

#include "core/clock.h"
#include "core/http_read_buffer.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

#include <chrono>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace monsoonlift::gate::internal {

/// One keep-alive connection to the backend server.
struct backend_connection {
    explicit backend_connection(const boost::asio::any_io_executor& executor) : socket(executor) {}

    boost::asio::ip::tcp::socket socket;
    core::http_read_buffer buffer;
    std::string address;
    bool has_answered = false;    ///< An answer was read; later bytes may repeat an earlier answer.
    core::steady_time idle_since; ///< Time at which it was put into the pool.
    bool is_writing = false;      ///< A part of a request is being written.
    boost::system::error_code write_failure; ///< Why writing failed, if it did.
};

/// Whether an end of file that was read from the connection is the peer's own end of what it sent. A socket
/// reports a reset once: if a write has received it, reads see an end of file as after an orderly close. Call
/// it when no write is in progress.
[[nodiscard]] bool has_ended_in_order(const backend_connection& connection);

/// Parses an "ip:port"; malformed text yields an endpoint that refuses every connection.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_endpoint(const std::string& address);

/// Idle connections to the backend server. Thread-safe.
class backend_pool {
public:
    using connection = std::shared_ptr<backend_connection>;

    explicit backend_pool(boost::asio::any_io_executor executor);

    /// Returns the most recently used connection to `address` if it seems open and has been idle for at most
    /// `idle_limit`; closes one that has been idle longer and returns nullptr.
    [[nodiscard]] connection take_idle(const std::string& address, std::chrono::milliseconds idle_limit,
                                       core::steady_time now);

    /// Creates a connection object that is not connected yet.
    [[nodiscard]] connection make(const std::string& address) const;

    /// Returns an open connection to the pool; dropped if the pool already holds `max_idle`.
    void give_back(connection idle, std::size_t max_idle, core::steady_time now);

private:
    boost::asio::any_io_executor m_executor;
    std::mutex m_mutex;
    std::vector<connection> m_idle;
};

} // namespace monsoonlift::gate::internal
