#include "tools/daemon_client.h"

#include "tools/digest.h"
#include "tools/network_address.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace monsoonlift::tools {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

nested_client::nested_client(const asio::any_io_executor& executor, const asio::ip::tcp::endpoint& daemon)
    : m_socket(executor), m_daemon(daemon) {}

asio::awaitable<bool> nested_client::connect() {
    if (m_socket.is_open()) {
        co_return true;
    }
    boost::system::error_code error;
    co_await m_socket.async_connect(m_daemon, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        cancel();
        co_return false;
    }
    m_socket.set_option(asio::ip::tcp::no_delay(true), error);
    co_return true;
}

asio::awaitable<bool> nested_client::call(const nested_call& nested) {
    const bool connected = co_await connect();
    if (!connected) {
        co_return false;
    }
    http::request<http::empty_body> request(http::verb::post, nested.target.path, 11);
    if (!nested.token.empty()) {
        request.target(nested.target.path + "?token=" + nested.token);
    }
    request.set(http::field::host, to_string(m_daemon));
    request.set("Monsoonlift-Service", nested.target.service);
    if (!nested.context.empty()) {
        request.set("Monsoonlift-Context", nested.context);
    }
    if (!nested.key.empty()) {
        request.set("Idempotency-Key", derive_key(nested.key, nested.target.service));
    }
    request.prepare_payload();
    boost::system::error_code error;
    co_await http::async_write(m_socket, request, asio::redirect_error(asio::use_awaitable, error));
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    if (!error) {
        co_await http::async_read(m_socket, buffer, response,
                                  asio::redirect_error(asio::use_awaitable, error));
    }
    if (error || !response.keep_alive()) {
        cancel();
    }
    co_return !error && response.result() == http::status::ok;
}

void nested_client::cancel() {
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

std::string derive_key(const std::string& outer_key, const std::string& service) {
    constexpr std::size_t uuid_length = 36;
    constexpr std::size_t uuid_version_position = 14;
    const std::string digest = digest_of(outer_key + "/" + service);
    if (outer_key.size() != uuid_length || outer_key[uuid_version_position] != '7') {
        return digest;
    }
    // NOTE: a version 7 UUID contains its time of issue, which the derived key keeps.
    const std::string issued = outer_key.substr(0, uuid_version_position + 1);
    return issued + digest.substr(0, 3) + "-8" + digest.substr(3, 3) + "-" + digest.substr(6, 12);
}

asio::awaitable<bool> post_json(asio::ip::tcp::endpoint server, std::string path, std::string body,
                                std::chrono::milliseconds timeout) {
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    boost::system::error_code error;
    co_await stream.async_connect(server, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    http::request<http::string_body> request(http::verb::post, path, 11);
    request.set(http::field::host, to_string(server));
    request.set(http::field::content_type, "application/json");
    request.body() = std::move(body);
    request.prepare_payload();
    co_await http::async_write(stream, request, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return false;
    }
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    co_await http::async_read(stream, buffer, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && http::to_status_class(response.result()) == http::status_class::successful;
}

} // namespace monsoonlift::tools
