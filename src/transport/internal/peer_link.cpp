#include "transport/internal/peer_link.h"

#include "transport/frame_codec.h"
#include "transport/internal/framing.h"
#include "transport/internal/tcp_address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace monsoonlift::transport::internal {

using boost::asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr send_limits small_limits{512, 512, 64 * 1024};
constexpr send_limits bulk_limits{64, 512, 512 * 1024};
constexpr std::chrono::milliseconds expiry_interval = 50ms;

/// Interval for a connected link, whose frames need no connection.
constexpr std::chrono::milliseconds idle_expiry_interval = 2s;
constexpr std::chrono::milliseconds shortest_pause = 20ms;
constexpr std::chrono::milliseconds longest_pause = 1s;

/// A connect whose opening packet is lost would be repeated by the kernel after a second only.
constexpr std::chrono::milliseconds shortest_connect_timeout = 200ms;
constexpr std::chrono::milliseconds longest_connect_timeout = 1s;

void limit_silence(tcp::socket& socket, std::chrono::milliseconds longest) {
    const auto timeout = static_cast<unsigned>(longest.count());
    static_cast<void>(
        ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout)));
}

} // namespace

peer_link::peer_link(boost::asio::io_context& io, route endpoints, const link_identity& identity,
                     const core::clock& clock, link_handlers handlers)
    : m_route(std::move(endpoints)), m_identity(identity), m_clock(clock), m_handlers(std::move(handlers)),
      m_strand(boost::asio::make_strand(io)), m_socket(m_strand), m_connect_timer(m_strand),
      m_expiry(m_strand), m_pause(shortest_pause), m_connect_timeout(shortest_connect_timeout),
      m_queue(identity.bulk ? bulk_limits : small_limits) {}

void peer_link::send(outgoing_frame message) {
    boost::asio::dispatch(m_strand, [self = shared_from_this(), message = std::move(message)]() mutable {
        self->enqueue(std::move(message));
    });
}

void peer_link::close() {
    boost::asio::post(m_strand, [self = shared_from_this()] {
        self->m_phase = phase::closed;
        self->on_disconnected();
        self->report_waiting();
    });
}

void peer_link::close_if_idle() {
    boost::asio::post(m_strand, [self = shared_from_this()] {
        if (self->m_phase == phase::connected && self->m_queue.is_empty()) {
            self->close_socket();
            self->m_phase = phase::idle;
        }
    });
}

void peer_link::abandon() {
    m_phase = phase::closed;
    close_socket();
    static_cast<void>(m_queue.take_unwritten());
}

void peer_link::enqueue(outgoing_frame message) {
    if (m_phase == phase::closed || m_queue.is_full()) {
        m_handlers.unsent(message,
                          m_phase == phase::closed ? loss_reason::link_closed : loss_reason::queue_full);
        return;
    }
    m_queue.add(std::move(message));
    if (m_phase == phase::idle) {
        connect();
    }
    if (m_phase == phase::connected) {
        m_writing_later ? m_queue.admit() : write();
    }
    expire_later();
}

void peer_link::connect() {
    m_connect_began = m_clock.now();
    const auto peer = parse_address(m_route.address);
    const auto failure = open();
    if (!peer || failure) {
        fail_connect(failure);
        return;
    }
    m_phase = phase::connecting;
    m_socket.async_connect(*peer, [self = shared_from_this(),
                                   connection = m_connection](const boost::system::error_code& refused) {
        if (connection == self->m_connection) {
            self->connected(refused);
        }
    });
    m_connect_timer.expires_after(m_connect_timeout);
    m_connect_timer.async_wait(
        [self = shared_from_this(), connection = m_connection](const boost::system::error_code& cancelled) {
            if (!cancelled && connection == self->m_connection && self->m_phase == phase::connecting) {
                self->connect_timed_out();
            }
        });
}

boost::system::error_code peer_link::open() {
    close_socket();
    boost::system::error_code failure;
    const auto peer = parse_address(m_route.address);
    if (!peer) {
        return boost::asio::error::invalid_argument;
    }
    m_socket.open(peer->protocol(), failure);
    if (!failure && !m_route.source_ip.empty()) {
        const auto source = boost::asio::ip::make_address(m_route.source_ip, failure);
        if (!failure) {
            m_socket.bind({source, 0}, failure);
        }
    }
    if (!failure) {
        m_socket.set_option(tcp::no_delay(true), failure);
    }
    if (!failure) {
        m_socket.non_blocking(true, failure);
        limit_silence(m_socket, m_route.silence_timeout);
    }
    return failure;
}

void peer_link::connect_timed_out() {
    m_handlers.not_connected(boost::asio::error::make_error_code(boost::asio::error::timed_out).message(),
                             m_clock.now() - m_connect_began);
    m_connect_timeout = std::min(m_connect_timeout * 2, longest_connect_timeout);
    close_socket();
    m_phase = phase::idle;
    if (m_queue.has_waiting()) {
        connect();
    }
}

void peer_link::connected(const boost::system::error_code& failure) {
    m_connect_timer.cancel();
    if (failure) {
        close_socket();
        fail_connect(failure);
        return;
    }
    m_phase = phase::connected;
    m_pause = shortest_pause;
    m_connect_timeout = shortest_connect_timeout;
    m_opening = opening();
    watch_peer();
    write();
}

std::string peer_link::opening() {
    frame first;
    first.sender = m_identity.sender;
    first.payload = link_opening{m_identity.number, m_queue.begin_connection()};
    return with_prefix(encode(first, m_clock.now()));
}

void peer_link::fail_connect(const boost::system::error_code& failure) {
    m_handlers.not_connected(failure.message(), m_clock.now() - m_connect_began);
    back_off(m_pause);
}

void peer_link::back_off(std::chrono::milliseconds pause) {
    m_phase = phase::backing_off;
    m_pause = std::min(pause * 2, longest_pause);
    m_connect_timer.expires_after(pause);
    m_connect_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (cancelled || self->m_phase != phase::backing_off) {
            return;
        }
        self->m_phase = phase::idle;
        if (self->m_queue.has_waiting()) {
            self->connect();
        }
    });
}

void peer_link::watch_peer() {
    // NOTE: the peer never writes on this connection, so this read completes only when the connection ends.
    m_socket.async_read_some(boost::asio::buffer(m_unexpected),
                             [self = shared_from_this(),
                              connection = m_connection](const boost::system::error_code&, std::size_t) {
                                 if (connection == self->m_connection) {
                                     self->on_disconnected();
                                 }
                             });
}

void peer_link::write() {
    while (m_phase == phase::connected) {
        const auto bytes = next_bytes();
        const bool written = !bytes.empty() && write_some(bytes);
        if (!written) {
            return;
        }
    }
}

std::string_view peer_link::next_bytes() {
    return m_opening.empty() ? m_queue.next_bytes(m_clock.now()) : std::string_view(m_opening);
}

bool peer_link::write_some(std::string_view bytes) {
    boost::system::error_code failure;
    const auto written = m_socket.write_some(boost::asio::buffer(bytes), failure);
    if (failure == boost::asio::error::would_block || failure == boost::asio::error::try_again) {
        write_later();
        return false;
    }
    if (failure) {
        on_disconnected();
        return false;
    }
    wrote(written);
    return written > 0;
}

void peer_link::wrote(std::size_t count) {
    if (m_opening.empty()) {
        m_queue.wrote(count, m_clock.now());
        return;
    }
    m_opening.erase(0, count);
}

void peer_link::write_later() {
    m_writing_later = true;
    m_socket.async_wait(tcp::socket::wait_write, [self = shared_from_this(), connection = m_connection](
                                                     const boost::system::error_code& failure) {
        if (connection != self->m_connection) {
            return;
        }
        self->m_writing_later = false;
        if (failure) {
            self->on_disconnected();
            return;
        }
        self->write();
    });
}

void peer_link::on_disconnected() {
    close_socket();
    m_queue.rewind(m_clock.now());
    if (m_phase == phase::closed) {
        return;
    }
    back_off(shortest_pause);
    expire_later();
}

void peer_link::close_socket() {
    ++m_connection;
    m_writing_later = false;
    m_connect_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void peer_link::expire_later() {
    if (m_queue.is_empty()) {
        return;
    }
    const auto wanted = m_clock.now() + (m_queue.has_waiting() ? expiry_interval : idle_expiry_interval);
    if (m_next_expiry <= wanted) {
        return;
    }
    m_next_expiry = wanted;
    m_expiry.expires_after(m_queue.has_waiting() ? expiry_interval : idle_expiry_interval);
    m_expiry.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure && self->m_phase != phase::closed) {
            self->m_next_expiry = core::steady_time::max();
            self->expire();
        }
    });
}

void peer_link::expire() {
    for (const auto& expired : m_queue.expire(m_clock.now())) {
        report(expired, loss_reason::expired);
    }
    expire_later();
}

void peer_link::report_waiting() {
    for (const auto& waiting : m_queue.take_unwritten()) {
        report(waiting, loss_reason::link_closed);
    }
}

void peer_link::report(const outgoing_frame& lost, loss_reason why) {
    if (lost.progress == write_progress::begun) {
        m_handlers.cut(lost);
        return;
    }
    m_handlers.unsent(lost, why);
}

} // namespace monsoonlift::transport::internal
