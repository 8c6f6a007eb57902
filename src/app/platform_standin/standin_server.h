#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "app/platform_standin/standin_state.h"
#include "core/system_clock.h"
#include "network/acceptor.h"

namespace monsoonlift::platform_standin {

/// A small in-memory platform for tests and measurements: serves the object API over HTTP and injects the
/// faults that POST /faults sets. Its io_context must run on one thread.
class standin_server {
public:
    standin_server(boost::asio::io_context& context, const boost::asio::ip::tcp::endpoint& listen,
                   std::uint64_t seed);

    standin_server(const standin_server&) = delete;
    standin_server& operator=(const standin_server&) = delete;
    ~standin_server();

    /// Sets a handler for additional paths; call it before start().
    void serve_also(path_handler more_paths);

    /// Starts accepting connections.
    void start();

    /// Stops accepting connections.
    void stop();

    /// Returns the "ip:port" that the server listens on.
    [[nodiscard]] std::string address() const;

private:
    core::system_clock m_clock;
    network::listening_acceptor m_acceptor;
    std::shared_ptr<standin_state> m_state;
};

} // namespace monsoonlift::platform_standin
