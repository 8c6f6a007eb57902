#include "entry/tests/loopback_backend.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace monsoonlift::entry::testing {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

loopback_backend::loopback_backend(boost::asio::io_context& io, std::string name)
    : m_name(std::move(name)), m_acceptor(io, {boost::asio::ip::address_v4::loopback(), 0}) {
    boost::asio::co_spawn(io, accept_all(), boost::asio::detached);
}

std::string loopback_backend::address() const {
    return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
}

boost::asio::awaitable<void> loopback_backend::accept_all() {
    while (true) {
        tcp::socket socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
        const auto executor = m_acceptor.get_executor();
        boost::asio::co_spawn(executor, serve(std::move(socket)), boost::asio::detached);
    }
}

boost::asio::awaitable<void> loopback_backend::serve(tcp::socket socket) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code failure;
    while (true) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(socket, buffer, parser,
                                  boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure) {
            co_return;
        }
        const auto& request = parser.get();
        const std::string target(request.target());
        const std::string method(request.method_string());
        if (method == "POST") {
            ++m_runs[target];
        }
        http::response<http::string_body> response(http::status::ok, 11);
        response.set("X-Backend", m_name);
        response.body() = expected_body(m_name, method, target, request.body());
        response.prepare_payload();
        co_await http::async_write(socket, response,
                                   boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure) {
            co_return;
        }
    }
}

std::string expected_body(const std::string& backend, const std::string& method, const std::string& target,
                          const std::string& body) {
    if (method == "POST") {
        return backend + target + "\n" + body;
    }
    const std::size_t length = std::stoul(target.substr(target.rfind('/') + 1));
    std::string answer;
    while (answer.size() < length) {
        answer += backend + target + "@" + std::to_string(answer.size()) + "\n";
    }
    answer.resize(length);
    return answer;
}

} // namespace monsoonlift::entry::testing
