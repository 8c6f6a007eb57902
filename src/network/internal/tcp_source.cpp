#include "network/tcp_source.h"

#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>

#include <utility>

namespace monsoonlift::network {

using boost::asio::ip::tcp;

tcp_source::tcp_source(boost::asio::io_context& io, const boost::asio::any_io_executor& strand,
                       const tcp::endpoint& address)
    : m_io(io), m_socket(std::make_shared<tcp::acceptor>(strand, address)),
      m_address(m_socket->local_endpoint()) {}

void tcp_source::accept(accepted_handler done) {
    m_socket->async_accept(boost::asio::make_strand(m_io), std::move(done));
}

void tcp_source::close() {
    boost::asio::post(m_socket->get_executor(), [socket = m_socket] {
        boost::system::error_code ignored;
        socket->close(ignored);
    });
}

} // namespace monsoonlift::network
