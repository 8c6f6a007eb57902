#include "tools/internal/backend_connection.h"

#include "tools/content.h"
#include "tools/digest.h"

#include <algorithm>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

namespace monsoonlift::tools::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::size_t chunk_bytes = 64 * 1024;
constexpr std::uint64_t max_echo_bytes = 64 * 1024 * 1024;

} // namespace

backend_connection::backend_connection(asio::ip::tcp::socket socket) : m_socket(std::move(socket)) {}

asio::awaitable<bool> backend_connection::read_head(request_parser& parser) {
    boost::system::error_code error;
    co_await http::async_read_header(m_socket, m_buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> backend_connection::read_body(request_parser& parser, received_request& request,
                                                    crash_trigger& trigger) {
    std::vector<char> chunk(parser.is_done() ? 0 : chunk_bytes);
    digest sha256;
    while (!parser.is_done()) {
        parser.get().body().data = chunk.data();
        parser.get().body().size = chunk.size();
        boost::system::error_code error;
        co_await http::async_read_some(m_socket, m_buffer, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (error && error != http::error::need_buffer) {
            co_return false;
        }
        const std::span<const char> read(chunk.data(), chunk.size() - parser.get().body().size);
        request.length += read.size();
        sha256.update(read);
        trigger.scan(read);
        if (request.target.echo && request.length <= max_echo_bytes) {
            request.echo.append(read.begin(), read.end());
        }
    }
    request.sha256 = sha256.finish();
    co_return true;
}

asio::awaitable<bool> backend_connection::write_continue() {
    http::response<http::empty_body> response(http::status::continue_, 11);
    boost::system::error_code error;
    co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

asio::awaitable<bool> backend_connection::write_answer(const received_request& request, simple_answer reply) {
    http::response<http::string_body> response(reply.status, 11);
    const bool is_content = request.target.echo && !is_control(request.target.path);
    response.set(http::field::content_type, is_content ? "application/octet-stream" : "application/json");
    if (reply.status == http::status::service_unavailable) {
        response.set(http::field::retry_after, "1");
    }
    response.keep_alive(request.keep_alive);
    response.body() = std::move(reply.body);
    response.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && request.keep_alive;
}

asio::awaitable<bool> backend_connection::write_content(const received_request& request,
                                                        std::uint64_t length) {
    http::response<http::empty_body> head(http::status::ok, 11);
    head.set(http::field::content_type, "application/octet-stream");
    head.keep_alive(request.keep_alive);
    head.content_length(length);
    http::response_serializer<http::empty_body> serializer(head);
    boost::system::error_code error;
    co_await http::async_write_header(m_socket, serializer, asio::redirect_error(asio::use_awaitable, error));
    const std::uint64_t seed = content_seed(request.target.token);
    std::vector<char> chunk(std::min<std::uint64_t>(chunk_bytes, length));
    for (std::uint64_t offset = 0; offset < length && !error; offset += chunk.size()) {
        chunk.resize(std::min<std::uint64_t>(chunk.size(), length - offset));
        fill_content(seed, offset, chunk);
        co_await asio::async_write(m_socket, asio::buffer(chunk),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return !error && request.keep_alive;
}

void backend_connection::watch(const request_parser& parser, std::function<void()> on_closed) {
    if (parser.is_done() && m_buffer.size() == 0) {
        wait_for_close(++m_watch_id, std::move(on_closed));
    }
}

void backend_connection::wait_for_close(std::uint64_t watch_id, std::function<void()> on_closed) {
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [this, watch_id, on_closed = std::move(on_closed)](
                                                              boost::system::error_code error) mutable {
        if (error || watch_id != m_watch_id) {
            return;
        }
        switch (peek_peer_state()) {
        case peer_state::idle:
            wait_for_close(watch_id, std::move(on_closed));
            break;
        case peer_state::closed:
            on_closed();
            break;
        case peer_state::sent_data:
            break;
        }
    });
}

void backend_connection::stop_watching() {
    ++m_watch_id;
    boost::system::error_code ignored;
    m_socket.cancel(ignored);
}

void backend_connection::close() {
    boost::system::error_code ignored;
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
}

backend_connection::peer_state backend_connection::peek_peer_state() {
    char byte = 0;
    boost::system::error_code error;
    m_socket.non_blocking(true, error);
    m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error) {
        return peer_state::sent_data;
    }
    return error == asio::error::would_block ? peer_state::idle : peer_state::closed;
}

} // namespace monsoonlift::tools::internal
