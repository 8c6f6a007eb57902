#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <functional>

namespace monsoonlift::network {

/// Where connections come from. An interface, so that tests decide when accepting fails.
class connection_source {
public:
    using accepted_handler =
        std::function<void(const boost::system::error_code&, boost::asio::ip::tcp::socket)>;

    connection_source() = default;
    connection_source(const connection_source&) = delete;
    connection_source& operator=(const connection_source&) = delete;
    virtual ~connection_source() = default;

    /// Takes the next connection; `done` is called once, never within this call.
    virtual void accept(accepted_handler done) = 0;

    /// Takes no more connections; an accept() that is under way fails. Safe to call from any thread.
    virtual void close() = 0;
};

} // namespace monsoonlift::network
