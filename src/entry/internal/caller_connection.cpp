#include "entry/internal/caller_connection.h"

#include "entry/internal/request_connection.h"
#include "transfer/body_room.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace monsoonlift::entry::internal {

namespace http = boost::beast::http;

namespace {

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t discard_bytes = 16 * 1024;

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

/// Whether a failed read says nothing about the connection, only about this machine.
bool is_passing(const boost::system::error_code& failure) {
    return failure == boost::asio::error::no_buffer_space || failure == boost::asio::error::no_memory ||
           failure == boost::asio::error::interrupted;
}

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket,
                                     std::shared_ptr<transfer::watchdog> watchdog,
                                     const connection_rules& rules)
    : m_socket(std::move(socket)), m_watchdog(std::move(watchdog)), m_rules(rules) {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

boost::asio::awaitable<caller_connection::head_outcome> caller_connection::read_head() {
    m_watches = false;
    m_wait_end = wait_end::none;
    m_parser.emplace();
    m_parser->header_limit(m_rules.head_limit_bytes);
    m_parser->body_limit(boost::none);
    const auto failure = co_await read_whole_head();
    const bool was_closed = !std::exchange(m_can_go_on, m_can_go_on && !failure);
    if (was_closed) {
        co_return head_outcome::closed;
    }
    if (!failure) {
        m_can_go_on = m_parser->get().keep_alive();
        co_return head_outcome::arrived;
    }
    co_return outcome_of(failure);
}

boost::asio::awaitable<boost::system::error_code> caller_connection::read_whole_head() {
    while (true) {
        boost::system::error_code failure = http::error::need_more;
        if (m_buffer.size() > 0) {
            const auto taken = m_parser->put(m_buffer.data(), failure);
            m_buffer.consume(taken);
            m_head_arrived = m_arrivals.consume(taken, m_rules.clock.now());
        }
        if (m_parser->is_header_done() || failure != http::error::need_more) {
            co_return failure;
        }
        failure = co_await read_more();
        if (failure) {
            co_return failure;
        }
    }
}

boost::asio::awaitable<boost::system::error_code> caller_connection::read_more() {
    const auto room = boost::beast::read_size(m_buffer, m_buffer.max_size());
    if (room == 0) {
        co_return http::error::buffer_overflow;
    }
    m_is_reading = true;
    const auto failure = co_await read_some(room);
    m_is_reading = false;
    co_return failure;
}

boost::asio::awaitable<boost::system::error_code> caller_connection::read_some(std::size_t room) {
    while (true) {
        const auto [failure, got] = co_await m_socket.async_read_some(m_buffer.prepare(room), to_tuple);
        if (!failure && m_can_go_on) {
            m_buffer.commit(got);
            m_arrivals.read(got, m_rules.clock.now());
            co_return failure;
        }
        if (!failure) {
            // NOTE: an answer has closed the connection, so what arrives is no request.
            continue;
        }
        if (is_passing(failure)) {
            co_await m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, to_tuple);
            continue;
        }
        const bool is_wait_ended =
            failure == boost::asio::error::operation_aborted && m_wait_end != wait_end::none;
        const bool reads_on = has_begun() && m_wait_end == wait_end::before_request;
        if (!is_wait_ended || !(reads_on || has_unread_bytes())) {
            co_return failure;
        }
    }
}

caller_connection::head_outcome
caller_connection::outcome_of(const boost::system::error_code& failure) const {
    if (failure == http::error::header_limit || failure == http::error::buffer_overflow) {
        return head_outcome::too_large;
    }
    if (failure == boost::asio::error::operation_aborted && m_wait_end != wait_end::none) {
        return has_begun() ? head_outcome::incomplete : head_outcome::not_begun;
    }
    const bool is_invalid_http =
        failure.category() == http::make_error_code(http::error::bad_method).category();
    return is_invalid_http ? head_outcome::malformed : head_outcome::closed;
}

bool caller_connection::has_begun() const {
    return m_parser->got_some();
}

bool caller_connection::has_unread_bytes() const {
    boost::system::error_code ignored;
    return m_socket.available(ignored) > 0;
}

request_head caller_connection::take_head() {
    request_head head;
    const auto& message = m_parser->get();
    head.version = message.version();
    head.arrived = m_head_arrived;
    if (!m_parser->is_header_done()) {
        return head;
    }
    head.keeps_alive = message.keep_alive();
    head.has_body = !m_parser->is_done();
    head.expects_continue = boost::beast::iequals(message[http::field::expect], "100-continue");
    head.fields.method = view(message.method_string());
    head.fields.target = view(message.target());
    for (const auto& field : message) {
        head.fields.headers.push_back(
            {std::string(view(field.name_string())), std::string(view(field.value()))});
    }
    return head;
}

boost::asio::awaitable<bool> caller_connection::read_body(std::string& into, std::size_t limit) {
    m_watches = false;
    const auto before = into.size();
    const auto room = transfer::room_for(m_parser->content_length_remaining(), limit);
    into.resize(before + room);
    auto& body = m_parser->get().body();
    body.data = into.data() + before;
    body.size = room;
    const auto [failure, got] = co_await http::async_read(m_socket, m_buffer, *m_parser, to_tuple);
    into.resize(before + room - body.size);
    m_arrivals.reset(m_buffer.size(), m_rules.clock.now());
    co_return !failure || failure == http::error::need_buffer;
}

void caller_connection::add(request_connection& request) {
    if (m_open.empty()) {
        m_busy_until = {};
    }
    m_open.push_back(&request);
}

void caller_connection::remove(request_connection& request) {
    std::erase(m_open, &request);
    if (!m_open.empty()) {
        m_open.front()->wake();
    }
    notify_change();
}

bool caller_connection::is_turn_of(const request_connection& request) const {
    return !m_open.empty() && m_open.front() == &request;
}

void caller_connection::begin_turn() {
    allow_until(m_rules.clock.now() + m_rules.answer_patience);
}

void caller_connection::remove_held(std::size_t bytes) {
    m_held_bytes -= bytes;
    notify_change();
}

bool caller_connection::is_answer_begun() const {
    return !m_open.empty() && m_open.front()->answered() == request_connection::answer_state::begun;
}

bool caller_connection::closes_after(const request_connection& request) const {
    return m_close_after_answer && !m_open.empty() && m_open.back() == &request;
}

void caller_connection::end_after(const request_connection& request) {
    m_can_go_on = false;
    const auto place = std::ranges::find(m_open, &request);
    if (place != m_open.end()) {
        drop_from(static_cast<std::size_t>(place - m_open.begin()) + 1);
    }
    notify_change();
}

void caller_connection::drop_from(std::size_t first) {
    for (auto index = first; index < m_open.size(); ++index) {
        m_open[index]->drop();
    }
}

void caller_connection::watch() {
    if (m_is_reading || m_has_caller_left || m_open.empty()) {
        return;
    }
    m_watches = true;
    if (!m_is_looking) {
        wait_for_readable();
    }
}

void caller_connection::caller_left() {
    m_has_caller_left = true;
    m_can_go_on = false;
    for (auto* request : m_open) {
        request->caller_left();
    }
    notify_change();
}

boost::asio::awaitable<void> caller_connection::wait_for_change() {
    if (!m_change) {
        m_change.emplace(strand());
    }
    m_change->expires_at(boost::asio::steady_timer::time_point::max());
    co_await m_change->async_wait(to_tuple);
}

void caller_connection::notify_change() {
    if (m_change) {
        m_change->cancel();
    }
}

void caller_connection::allow_until(core::steady_time until) {
    m_busy_until = std::max(m_busy_until, until);
    m_watchdog->allow_until(m_busy_until);
}

void caller_connection::end_wait(wait_end which) {
    m_wait_end = which;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void caller_connection::close_unread() {
    m_can_go_on = false;
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

void caller_connection::abort() {
    m_can_go_on = false;
    m_watches = false;
    m_has_caller_left = true;
    drop_from(0);
    notify_change();
    if (!m_socket.is_open()) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

void caller_connection::shut_down() {
    if (std::exchange(m_is_shut_down, true) || !m_socket.is_open()) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
}

boost::asio::awaitable<void> caller_connection::close() {
    m_watches = false;
    if (!m_socket.is_open()) {
        co_return;
    }
    shut_down();
    // NOTE: closing a socket with unread bytes would reset the connection before the caller has read the
    // answer.
    std::array<char, discard_bytes> unread{};
    boost::system::error_code failure;
    while (!failure) {
        std::tie(failure, std::ignore) =
            co_await m_socket.async_read_some(boost::asio::buffer(unread), to_tuple);
    }
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace monsoonlift::entry::internal
