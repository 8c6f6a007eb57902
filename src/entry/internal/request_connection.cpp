#include "entry/internal/request_connection.h"

#include "transfer/http_headers.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace monsoonlift::entry::internal {

namespace http = boost::beast::http;

namespace {

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

bool has_no_body(unsigned status) {
    return status == 204 || status == 304;
}

} // namespace

request_connection::request_connection(std::shared_ptr<caller_connection> connection, request_head head)
    : m_connection(std::move(connection)), m_head(std::move(head)) {
    m_connection->add(*this);
}

request_connection::~request_connection() {
    finish();
}

void request_connection::finish() {
    if (!std::exchange(m_is_finished, true)) {
        m_on_gone = nullptr;
        m_connection->remove(*this);
    }
}

boost::asio::awaitable<bool> request_connection::send_continue() {
    if (!m_head.expects_continue || is_body_read()) {
        co_return true;
    }
    static constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";
    const auto [failure, written] = co_await boost::asio::async_write(
        m_connection->socket(), boost::asio::buffer(continue_response), to_tuple);
    co_return !failure;
}

boost::asio::awaitable<bool> request_connection::read_body(std::string& into, std::size_t limit) {
    if (is_body_read()) {
        co_return true;
    }
    co_return co_await m_connection->read_body(into, limit);
}

template <class Body>
void request_connection::label(http::response<Body>& response, answer_labels labels) const {
    response.set("Monsoonlift-Verdict", core::to_string(labels.run));
    response.set("Monsoonlift-Attempts", std::to_string(labels.attempts));
    if (m_request_id) {
        response.set("Monsoonlift-Request-Id", core::to_string(*m_request_id));
    }
}

template <class Body>
void request_connection::fill_response(http::response<Body>& response, const transport::response_head& head,
                                       answer_labels labels) {
    response.version(m_head.version);
    response.result(head.status);
    response.reason(head.reason);
    for (const auto& field : head.headers) {
        response.insert(field.name, field.value);
    }
    if (m_connection->protocol().labels_answers) {
        label(response, labels);
    }
    const bool keeps_alive = m_head.keeps_alive && is_body_read() && !m_connection->closes_after(*this);
    response.keep_alive(keeps_alive);
    if (!keeps_alive) {
        m_connection->end_after(*this);
    }
}

boost::asio::awaitable<bool> request_connection::write_answer(transport::response_head head,
                                                              answer_labels labels) {
    const bool may_write = co_await wait_for_turn(head.body.size());
    if (!may_write) {
        co_return false;
    }
    http::response<http::string_body> response;
    fill_response(response, head, labels);
    response.body() = std::move(head.body);
    const bool bodiless = m_head.fields.method == "HEAD" || has_no_body(head.status);
    if (bodiless) {
        response.body().clear();
    } else {
        response.content_length(response.body().size());
    }
    m_answered = answer_state::begun;
    const auto [failure, written] = co_await http::async_write(m_connection->socket(), response, to_tuple);
    note_written(failure);
    co_return !failure;
}

boost::asio::awaitable<bool> request_connection::begin_answer(const transport::response_head& head,
                                                              answer_labels labels) {
    const bool may_write = co_await wait_for_turn(head.body.size());
    if (!may_write) {
        co_return false;
    }
    m_response.emplace();
    fill_response(*m_response, head, labels);
    const bool has_length = m_response->find(http::field::content_length) != m_response->end();
    if (!has_length && m_response->version() >= 11) {
        m_response->chunked(true);
    } else if (!has_length) {
        m_connection->end_after(*this);
        m_response->keep_alive(false);
    }
    m_serializer.emplace(*m_response);
    co_return co_await write_piece(head.body);
}

boost::asio::awaitable<bool> request_connection::write_piece(std::string_view bytes) {
    auto& body = m_response->body();
    // NOTE: a non-null buffer of zero bytes would be written as the last chunk.
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = true;
    // NOTE: the serializer holds the head back until there is something of the body.
    if (!bytes.empty()) {
        m_answered = answer_state::begun;
    }
    const auto [failure, written] =
        co_await http::async_write(m_connection->socket(), *m_serializer, to_tuple);
    co_return !failure || failure == http::error::need_buffer;
}

boost::asio::awaitable<bool> request_connection::end_answer() {
    auto& body = m_response->body();
    body.data = nullptr;
    body.size = 0;
    body.more = false;
    m_answered = answer_state::begun;
    const auto [failure, written] =
        co_await http::async_write(m_connection->socket(), *m_serializer, to_tuple);
    note_written(failure);
    co_return !failure;
}

void request_connection::note_written(const boost::system::error_code& failure) {
    if (failure) {
        m_connection->end_after(*this);
        return;
    }
    m_answered = answer_state::complete;
}

boost::asio::awaitable<bool> request_connection::write_problem(const problem& trouble,
                                                               std::uint32_t attempts) {
    auto head = m_connection->protocol().tell(trouble);
    head.reason = http::obsolete_reason(static_cast<http::status>(head.status));
    co_return co_await write_answer(std::move(head), {trouble.run, attempts});
}

boost::asio::awaitable<bool> request_connection::write_json(unsigned status, std::string document) {
    transport::response_head head;
    head.status = status;
    head.reason = http::obsolete_reason(static_cast<http::status>(status));
    head.headers.push_back({"Content-Type", "application/json"});
    head.body = std::move(document);
    co_return co_await write_answer(std::move(head), {core::verdict::ran, 0});
}

boost::asio::awaitable<bool> request_connection::wait_for_turn(std::size_t held_bytes) {
    if (m_connection->is_turn_of(*this)) {
        co_return !m_is_dropped;
    }
    m_connection->add_held(held_bytes);
    m_turn.emplace(strand(), boost::asio::steady_timer::time_point::max());
    while (!m_is_dropped && !m_gives_up_answer && !m_connection->is_turn_of(*this)) {
        co_await m_turn->async_wait(to_tuple);
    }
    m_turn.reset();
    m_connection->remove_held(held_bytes);
    const bool is_given_up = std::exchange(m_gives_up_answer, false);
    if (is_given_up) {
        co_return false;
    }
    m_connection->begin_turn();
    co_return !m_is_dropped;
}

void request_connection::watch(std::function<void()> gone) {
    if (m_is_finished) {
        return;
    }
    if (m_is_caller_gone || m_is_dropped) {
        gone();
        return;
    }
    m_on_gone = std::move(gone);
    m_connection->watch();
}

void request_connection::caller_left() {
    m_is_caller_gone = true;
    if (m_on_gone) {
        std::exchange(m_on_gone, nullptr)();
    }
}

void request_connection::drop() {
    m_is_dropped = true;
    wake();
    caller_left();
}

void request_connection::wake() {
    if (m_turn) {
        m_turn->cancel();
    }
}

void request_connection::give_up_answer() {
    if (m_answered != answer_state::none) {
        abort();
    } else if (m_turn) {
        m_gives_up_answer = true;
        wake();
    }
}

void request_connection::abort() {
    if (m_is_dropped || m_is_finished) {
        return;
    }
    m_on_gone = nullptr;
    m_connection->abort();
}

} // namespace monsoonlift::entry::internal
