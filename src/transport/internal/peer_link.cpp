#include "transport/internal/peer_link.h"

#include "transport/internal/tcp_address.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <utility>

namespace monsoonlift::transport::internal {

using boost::asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr std::size_t small_high_water_mark = 512;
constexpr std::size_t bulk_high_water_mark = 64;
constexpr std::size_t max_waiting = 512;
constexpr std::chrono::milliseconds max_queue_time = 250ms;
constexpr std::chrono::milliseconds expiry_interval = 50ms;
constexpr std::chrono::milliseconds shortest_pause = 20ms;
constexpr std::chrono::milliseconds longest_pause = 1s;

/// A connect that takes longer is abandoned and, after a pause, retried once a frame needs the connection.
constexpr std::chrono::milliseconds connect_timeout = 1s;

} // namespace

peer_link::peer_link(boost::asio::io_context& io, route endpoints, bool bulk, const core::clock& clock,
                     link_handlers handlers)
    : m_route(std::move(endpoints)), m_max_admitted(bulk ? bulk_high_water_mark : small_high_water_mark),
      m_clock(clock), m_handlers(std::move(handlers)), m_strand(boost::asio::make_strand(io)),
      m_socket(m_strand), m_connect_timer(m_strand), m_expiry(m_strand), m_pause(shortest_pause) {}

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

void peer_link::abandon() {
    m_phase = phase::closed;
    close_socket();
    m_admitted.clear();
    m_waiting.clear();
}

void peer_link::enqueue(outgoing_frame message) {
    message.queued = m_clock.now();
    if (m_phase == phase::closed || m_waiting.size() >= max_waiting) {
        m_handlers.unsent(message,
                          m_phase == phase::closed ? loss_reason::link_closed : loss_reason::queue_full);
        return;
    }
    m_waiting.push_back(std::move(message));
    if (m_phase == phase::idle) {
        connect();
    }
    if (m_phase == phase::connected) {
        m_writing_later ? admit_waiting() : write();
    }
    if (!m_waiting.empty()) {
        expire_later();
    }
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
    m_connect_timer.expires_after(connect_timeout);
    m_connect_timer.async_wait(
        [self = shared_from_this(), connection = m_connection](const boost::system::error_code& cancelled) {
            if (!cancelled && connection == self->m_connection && self->m_phase == phase::connecting) {
                self->connected(boost::asio::error::timed_out);
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
    }
    return failure;
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
    watch_peer();
    write();
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
        if (!self->m_waiting.empty()) {
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
    admit_waiting();
    while (m_phase == phase::connected && !m_admitted.empty()) {
        const auto written = write_some();
        if (written == 0) {
            return;
        }
        m_front_written += written;
        if (m_front_written == m_admitted.front().bytes.size()) {
            m_admitted.pop_front();
            m_front_written = 0;
            admit_waiting();
        }
    }
}

void peer_link::admit_waiting() {
    while (!m_waiting.empty() && m_admitted.size() < m_max_admitted) {
        m_admitted.push_back(std::move(m_waiting.front()));
        m_waiting.pop_front();
    }
}

std::size_t peer_link::write_some() {
    boost::system::error_code failure;
    const auto rest = boost::asio::buffer(m_admitted.front().bytes) + m_front_written;
    const auto written = m_socket.write_some(rest, failure);
    if (failure == boost::asio::error::would_block || failure == boost::asio::error::try_again) {
        write_later();
        return 0;
    }
    if (failure) {
        on_disconnected();
        return 0;
    }
    return written;
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
    if (m_front_written > 0) {
        const auto partial = std::move(m_admitted.front());
        m_admitted.pop_front();
        m_front_written = 0;
        m_handlers.cut(partial);
    }
    const auto now = m_clock.now();
    while (!m_admitted.empty()) {
        m_waiting.push_front(std::move(m_admitted.back()));
        m_admitted.pop_back();
        m_waiting.front().queued = now;
    }
    if (m_phase == phase::closed) {
        return;
    }
    back_off(shortest_pause);
    if (!m_waiting.empty()) {
        expire_later();
    }
}

void peer_link::close_socket() {
    ++m_connection;
    m_writing_later = false;
    m_connect_timer.cancel();
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void peer_link::expire_later() {
    if (std::exchange(m_expiry_set, true)) {
        return;
    }
    m_expiry.expires_after(expiry_interval);
    m_expiry.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure && self->m_phase != phase::closed) {
            self->expire();
        }
    });
}

void peer_link::expire() {
    m_expiry_set = false;
    const auto now = m_clock.now();
    while (!m_waiting.empty() && now - m_waiting.front().queued > max_queue_time) {
        const auto expired = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_handlers.unsent(expired, loss_reason::expired);
    }
    if (!m_waiting.empty()) {
        expire_later();
    }
}

void peer_link::report_waiting() {
    while (!m_waiting.empty()) {
        const auto waiting = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_handlers.unsent(waiting, loss_reason::link_closed);
    }
}

} // namespace monsoonlift::transport::internal
