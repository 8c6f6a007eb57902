#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace monsoonlift::network {

/// Source of incoming connections. An interface, so that tests can make accepting fail.
class connection_source {
public:
    using accepted_handler =
        std::function<void(const boost::system::error_code&, boost::asio::ip::tcp::socket)>;

    connection_source() = default;
    connection_source(const connection_source&) = delete;
    connection_source& operator=(const connection_source&) = delete;
    virtual ~connection_source() = default;

    /// Accepts the next connection; `done` is called exactly once, never from within this function.
    virtual void accept(accepted_handler done) = 0;

    /// Stops accepting connections; a pending accept() fails. Safe to call from any thread.
    virtual void close() = 0;
};

} // namespace monsoonlift::network
