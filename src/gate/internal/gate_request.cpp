// The part of gate_call that writes the request to the backend server.
#include "gate/context_token.h"
#include "gate/internal/gate_call.h"

#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <utility>

namespace monsoonlift::gate::internal {

namespace http = boost::beast::http;
using transport::end_reason;

namespace {

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);

} // namespace

template <class Body> void gate_call::fill_request(http::request<Body>& request) const {
    request.method_string(m_head.method);
    request.target(m_head.target);
    request.version(11);
    for (const auto& field : m_head.headers) {
        request.insert(field.name, field.value);
    }
    const auto token = make_token();
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        core::time_left(m_head.context, m_env.clock.now()));
    m_env.options.protocol.label_request(request, {m_head, m_backend, token, remaining});
}

context_token gate_call::make_token() const {
    context_token token;
    token.root = m_head.context.root;
    token.depth = m_head.context.depth;
    token.rank = m_head.context.rank;
    token.deadline = m_head.context.deadline;
    token.run = m_run;
    token.issuer = m_env.sender.self().life;
    token.account = m_head.context.account;
    token.position = m_head.context.position;
    token.work_spent = m_head.context.work_spent;
    return token;
}

boost::asio::awaitable<void> gate_call::write_complete_request() {
    http::request<http::string_body> request;
    fill_request(request);
    request.body() = m_was_idle_long ? m_head.body : std::move(m_head.body);
    const bool has_length = request.find(http::field::content_length) != request.end();
    if (has_length || !request.body().empty()) {
        request.content_length(request.body().size());
    }
    m_uploaded = co_await write(request);
}

template <class Message> boost::asio::awaitable<bool> gate_call::write(Message& message) {
    const auto connection = m_connection;
    connection->is_writing = true;
    const auto [failure, written] = co_await http::async_write(connection->socket, message, to_tuple);
    connection->is_writing = false;
    const bool is_written = !failure || failure == http::error::need_buffer;
    if (!is_written) {
        connection->write_failure = failure;
    }
    co_return is_written;
}

boost::asio::awaitable<void> gate_call::upload() {
    m_upload_request.emplace();
    fill_request(*m_upload_request);
    if (m_upload_request->find(http::field::content_length) == m_upload_request->end()) {
        m_upload_request->chunked(true);
    }
    m_upload.emplace(*m_upload_request);
    transfer::body_receiver receiver(m_env.options.body_credit_chunks);
    receiver.begin(m_head.body);
    m_upload_request->body().data = m_head.body.data();
    m_upload_request->body().size = m_head.body.size();
    const bool is_begun = co_await write(*m_upload);
    if (!is_begun) {
        co_return;
    }
    send(transport::credit{receiver.first_credit()});
    while (!m_uploaded && !m_finished) {
        auto item = co_await m_inbox.next(core::steady_time::max());
        if (!item) {
            co_return;
        }
        const bool passed = co_await upload_item(std::move(*item), receiver);
        if (!passed) {
            co_return;
        }
    }
}

boost::asio::awaitable<bool> gate_call::upload_item(body_item item, transfer::body_receiver& receiver) {
    auto* chunk = std::get_if<transport::body_chunk>(&item);
    const auto* end = std::get_if<transport::body_end>(&item);
    const bool valid =
        chunk != nullptr ? m_last_bytes.empty() && receiver.accept(*chunk) : receiver.is_complete(end->total);
    if (!valid) {
        m_env.log.write(logging::event_id::body_broken, {{"attempt", std::to_string(m_attempt.call)}});
        stop_now(end_reason::body_damaged);
        co_return false;
    }
    if (chunk == nullptr) {
        m_uploaded = co_await upload_bytes(m_last_bytes, false);
        co_return m_uploaded;
    }
    // NOTE: a backend server may run the request as soon as it has the stated length, so the last chunk is
    // held back until the digest at the end of the body has shown that the body is intact.
    if (completes_stated_length(receiver.length())) {
        m_last_bytes = std::move(chunk->data);
        co_return true;
    }
    const bool passed = co_await upload_bytes(chunk->data, true);
    const auto more = passed ? receiver.consumed() : 0;
    if (more > 0) {
        send(transport::credit{more});
    }
    co_return passed;
}

boost::asio::awaitable<bool> gate_call::upload_bytes(std::string_view bytes, bool more) {
    auto& body = m_upload_request->body();
    // NOTE: with a non-null pointer to zero bytes, Beast would write the final chunk twice.
    body.data = bytes.empty() ? nullptr : const_cast<char*>(bytes.data());
    body.size = bytes.size();
    body.more = more;
    co_return co_await write(*m_upload);
}

bool gate_call::completes_stated_length(std::uint64_t length) const {
    const auto stated = m_upload_request->find(http::field::content_length);
    return stated != m_upload_request->end() && stated->value() == std::to_string(length);
}

} // namespace monsoonlift::gate::internal
