#include "transport/internal/frame_inbox.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace monsoonlift::transport::internal {

using boost::asio::ip::tcp;

inbound_connection::inbound_connection(tcp::socket socket, const inbox_handlers& handlers)
    : m_socket(std::move(socket)), m_handlers(handlers) {}

void inbound_connection::start() {
    boost::asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->read(); });
}

void inbound_connection::abandon() {
    close();
}

void inbound_connection::read() {
    const auto space = m_frames.space();
    m_socket.async_read_some(
        boost::asio::buffer(space.data(), space.size()),
        [self = shared_from_this()](const boost::system::error_code& failure, std::size_t bytes) {
            // NOTE: a read that completed before abandon() still runs this handler; the handlers' owner may
            // be destroyed by then, so it must not be called.
            if (failure || !self->m_socket.is_open()) {
                self->close();
                return;
            }
            self->m_frames.filled(bytes);
            if (!self->process_frames()) {
                self->close();
                return;
            }
            self->read();
        });
}

bool inbound_connection::process_frames() {
    while (const auto frame = m_frames.next()) {
        if (!m_handlers.frame_received(*frame, m_position)) {
            return false;
        }
    }
    if (m_frames.is_over_long()) {
        m_handlers.over_long();
        return false;
    }
    return true;
}

void inbound_connection::close() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

frame_inbox::frame_inbox(network::listening_acceptor peers) : m_peers(std::move(peers)) {}

frame_inbox::~frame_inbox() {
    for (const auto& connection : m_connections) {
        if (const auto open = connection.lock()) {
            open->abandon();
        }
    }
}

void frame_inbox::start(inbox_handlers handlers) {
    m_handlers = std::move(handlers);
    m_peers.connections->start({[this](tcp::socket socket) { accepted(std::move(socket)); },
                                [this](const std::string& why, std::uint64_t left_out) {
                                    m_handlers.not_accepted(why, left_out);
                                }});
}

void frame_inbox::accepted(tcp::socket socket) {
    boost::system::error_code ignored;
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    auto connection = std::make_shared<inbound_connection>(std::move(socket), m_handlers);
    std::erase_if(m_connections, [](const auto& known) { return known.expired(); });
    m_connections.push_back(connection);
    connection->start();
}

} // namespace monsoonlift::transport::internal
