// The part of caller_connection that notices a caller's disconnect while the connection isn't read.
#include "entry/caller_presence.h"
#include "entry/internal/caller_connection.h"

#include <array>
#include <cerrno>
#include <utility>

#include <poll.h>
#include <sys/socket.h>

namespace monsoonlift::entry::internal {

namespace {

using namespace std::chrono_literals;

/// Time between two looks for a hang-up behind unread bytes: those hide the end of the connection from a
/// read, and nothing signals it.
constexpr std::chrono::milliseconds look_interval = 100ms;

bool has_hung_up(int socket) {
    pollfd state{socket, POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

} // namespace

void caller_connection::wait_for_readable() {
    if (std::exchange(m_waits_for_readable, true)) {
        return;
    }
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& failure) {
                            self->m_waits_for_readable = false;
                            if (!failure && self->m_watches) {
                                self->check_caller_closed();
                            }
                        });
}

void caller_connection::check_caller_closed() {
    char byte = 0;
    const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    switch (presence_from_peek(got, errno)) {
    case caller_presence::unknown:
        // NOTE: the bytes that made the socket readable have been read since.
        wait_for_readable();
        break;
    case caller_presence::gone:
        caller_left();
        break;
    case caller_presence::sends_more:
        note_unread_bytes();
        look_later();
        break;
    }
}

void caller_connection::look_later() {
    if (std::exchange(m_is_looking, true)) {
        return;
    }
    if (!m_look) {
        m_look.emplace(strand());
    }
    m_look->expires_after(look_interval);
    m_look->async_wait([self = shared_from_this()](const boost::system::error_code&) {
        self->m_is_looking = false;
        self->look_for_hang_up();
    });
}

void caller_connection::look_for_hang_up() {
    if (!m_watches || !m_socket.is_open()) {
        return;
    }
    if (has_hung_up(m_socket.native_handle())) {
        caller_left();
        return;
    }
    note_unread_bytes();
    look_later();
}

void caller_connection::note_unread_bytes() {
    boost::system::error_code failure;
    const auto unread = m_socket.available(failure);
    if (!failure) {
        m_arrivals.seen(unread, m_rules.clock.now());
    }
}

} // namespace monsoonlift::entry::internal
