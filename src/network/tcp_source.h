#pragma once

#include "network/connection_source.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>

namespace monsoonlift::network {

/// A listening TCP socket. Each accepted connection gets its own strand.
class tcp_source final : public connection_source {
public:
    /// Binds the address; throws boost::system::system_error if that fails. Handlers run on `strand`.
    tcp_source(boost::asio::io_context& io, const boost::asio::any_io_executor& strand,
               const boost::asio::ip::tcp::endpoint& address);

    void accept(accepted_handler done) override;
    void close() override;

    /// Returns the bound address, with the port chosen by the system if port 0 was requested.
    [[nodiscard]] const boost::asio::ip::tcp::endpoint& address() const { return m_address; }

private:
    boost::asio::io_context& m_io;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> m_socket;
    boost::asio::ip::tcp::endpoint m_address;
};

} // namespace monsoonlift::network
