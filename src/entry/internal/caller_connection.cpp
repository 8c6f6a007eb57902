#include "entry/internal/caller_connection.h"

#include "entry/caller_presence.h"
#include "transfer/body_room.h"
#include "transfer/http_headers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>
#include <cerrno>
#include <utility>

#include <sys/socket.h>

namespace monsoonlift::entry::internal {

namespace http = boost::beast::http;

namespace {

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::size_t discard_bytes = 16 * 1024;

std::string_view view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

bool has_no_body(unsigned status) {
    return status == 204 || status == 304;
}

} // namespace

caller_connection::caller_connection(boost::asio::ip::tcp::socket socket, std::uint32_t head_limit,
                                     const caller_protocol& protocol)
    : m_socket(std::move(socket)), m_head_limit(head_limit), m_protocol(protocol) {
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

boost::asio::awaitable<caller_connection::head_outcome> caller_connection::read_head() {
    m_request = {};
    m_request_id.reset();
    m_answered = answer_state::none;
    m_wait_end = wait_end::none;
    m_parser.emplace();
    m_parser->header_limit(m_head_limit);
    m_parser->body_limit(boost::none);
    const auto failure = co_await read_whole_head();
    if (!failure) {
        store_request();
        co_return head_outcome::arrived;
    }
    m_can_go_on = false;
    co_return outcome_of(failure);
}

boost::asio::awaitable<boost::system::error_code> caller_connection::read_whole_head() {
    while (true) {
        boost::system::error_code failure = http::error::need_more;
        if (m_buffer.size() > 0) {
            m_buffer.consume(m_parser->put(m_buffer.data(), failure));
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
    while (true) {
        const auto [failure, got] = co_await m_socket.async_read_some(m_buffer.prepare(room), to_tuple);
        if (!failure) {
            m_buffer.commit(got);
            co_return failure;
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

void caller_connection::store_request() {
    const auto& message = m_parser->get();
    m_can_go_on = message.keep_alive();
    m_request.method = view(message.method_string());
    m_request.target = view(message.target());
    m_request.headers.clear();
    for (const auto& field : message) {
        m_request.headers.push_back(
            {std::string(view(field.name_string())), std::string(view(field.value()))});
    }
}

boost::asio::awaitable<bool> caller_connection::send_continue() {
    const bool expects_continue = boost::beast::iequals(m_parser->get()[http::field::expect], "100-continue");
    if (!expects_continue || m_parser->is_done()) {
        co_return true;
    }
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto [failure, written] =
        co_await boost::asio::async_write(m_socket, boost::asio::buffer(continue_response), to_tuple);
    co_return !failure;
}

boost::asio::awaitable<bool> caller_connection::read_body(std::string& into, std::size_t limit) {
    if (m_parser->is_done()) {
        co_return true;
    }
    const auto before = into.size();
    const auto room = transfer::room_for(m_parser->content_length_remaining(), limit);
    into.resize(before + room);
    auto& body = m_parser->get().body();
    body.data = into.data() + before;
    body.size = room;
    const auto [failure, got] = co_await http::async_read(m_socket, m_buffer, *m_parser, to_tuple);
    into.resize(before + room - body.size);
    co_return !failure || failure == http::error::need_buffer;
}

template <class Body>
void caller_connection::label(http::response<Body>& response, answer_labels labels) const {
    response.set("Monsoonlift-Verdict", core::to_string(labels.run));
    response.set("Monsoonlift-Attempts", std::to_string(labels.attempts));
    if (m_request_id) {
        response.set("Monsoonlift-Request-Id", core::to_string(*m_request_id));
    }
}

template <class Body>
void caller_connection::fill_response(http::response<Body>& response, const transport::response_head& head,
                                      answer_labels labels) {
    response.version(m_parser->get().version());
    response.result(head.status);
    response.reason(head.reason);
    for (const auto& field : head.headers) {
        response.insert(field.name, field.value);
    }
    if (m_protocol.labels_answers) {
        label(response, labels);
    }
    m_can_go_on = m_can_go_on && !m_close_after_answer && m_parser->is_done();
    response.keep_alive(m_can_go_on);
}

boost::asio::awaitable<bool> caller_connection::write_answer(transport::response_head head,
                                                             answer_labels labels) {
    http::response<http::string_body> response;
    fill_response(response, head, labels);
    response.body() = std::move(head.body);
    const bool bodiless = m_request.method == "HEAD" || has_no_body(head.status);
    if (bodiless) {
        response.body().clear();
    } else {
        response.content_length(response.body().size());
    }
    m_answered = answer_state::begun;
    const auto [failure, written] = co_await http::async_write(m_socket, response, to_tuple);
    note_written(failure);
    co_return !failure;
}

boost::asio::awaitable<bool> caller_connection::begin_answer(const transport::response_head& head,
                                                             answer_labels labels) {
    m_response.emplace();
    fill_response(*m_response, head, labels);
    const bool has_length = m_response->find(http::field::content_length) != m_response->end();
    if (!has_length && m_response->version() >= 11) {
        m_response->chunked(true);
    } else if (!has_length) {
        m_can_go_on = false;
        m_response->keep_alive(false);
    }
    m_serializer.emplace(*m_response);
    m_answered = answer_state::begun;
    co_return co_await write_piece(head.body);
}

boost::asio::awaitable<bool> caller_connection::write_piece(std::string_view bytes) {
    auto& body = m_response->body();
    // NOTE: a non-null buffer of zero bytes would be written as the last chunk.
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = true;
    const auto [failure, written] = co_await http::async_write(m_socket, *m_serializer, to_tuple);
    co_return !failure || failure == http::error::need_buffer;
}

boost::asio::awaitable<bool> caller_connection::end_answer() {
    auto& body = m_response->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    const auto [failure, written] = co_await http::async_write(m_socket, *m_serializer, to_tuple);
    note_written(failure);
    co_return !failure;
}

void caller_connection::note_written(const boost::system::error_code& failure) {
    m_can_go_on = m_can_go_on && !failure;
    if (!failure) {
        m_answered = answer_state::complete;
    }
}

boost::asio::awaitable<bool> caller_connection::write_problem(const problem& trouble,
                                                              std::uint32_t attempts) {
    auto head = m_protocol.tell(trouble);
    head.reason = http::obsolete_reason(static_cast<http::status>(head.status));
    co_return co_await write_answer(std::move(head), {trouble.run, attempts});
}

boost::asio::awaitable<bool> caller_connection::write_json(unsigned status, std::string document) {
    transport::response_head head;
    head.status = status;
    head.reason = http::obsolete_reason(static_cast<http::status>(status));
    head.headers.push_back({"Content-Type", "application/json"});
    head.body = std::move(document);
    co_return co_await write_answer(std::move(head), {core::verdict::ran, 0});
}

void caller_connection::watch(std::function<void()> gone) {
    m_on_closed = std::move(gone);
    wait_for_readable();
}

void caller_connection::wait_for_readable() {
    if (std::exchange(m_watching, true)) {
        return;
    }
    m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                        [self = shared_from_this()](const boost::system::error_code& failure) {
                            self->m_watching = false;
                            if (!failure && self->m_on_closed) {
                                self->check_caller_closed();
                            }
                        });
}

void caller_connection::check_caller_closed() {
    char byte = 0;
    const auto got = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const auto presence = presence_from_peek(got, errno);
    if (presence == caller_presence::unknown) {
        // NOTE: the socket became readable with bytes of this request, which its handler has read since.
        wait_for_readable();
    } else if (presence == caller_presence::gone) {
        std::exchange(m_on_closed, nullptr)();
    }
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
    m_on_closed = nullptr;
    if (!m_socket.is_open()) {
        return;
    }
    boost::system::error_code ignored;
    m_socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    m_socket.close(ignored);
}

boost::asio::awaitable<void> caller_connection::close() {
    m_on_closed = nullptr;
    if (!m_socket.is_open()) {
        co_return;
    }
    boost::system::error_code ignored;
    m_socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    // NOTE: closing a socket with unread bytes would reset the connection before the caller has read the
    // answer.
    std::array<char, discard_bytes> unread{};
    boost::system::error_code failure;
    while (!failure) {
        std::tie(failure, std::ignore) =
            co_await m_socket.async_read_some(boost::asio::buffer(unread), to_tuple);
    }
    m_socket.close(ignored);
}

} // namespace monsoonlift::entry::internal
