#include "admin/admin_server.h"

#include "core/contain.h"
#include "core/http_read_buffer.h"
#include "network/address_text.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <openssl/crypto.h>

#include <array>
#include <atomic>
#include <chrono>
#include <exception>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <utility>
#include <variant>

namespace monsoonlift::admin {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr auto to_tuple = boost::asio::as_tuple(boost::asio::use_awaitable);
constexpr std::uint64_t body_limit_bytes = 1024 * 1024;
constexpr std::chrono::seconds idle_timeout = 30s;

/// How long a client whose message was refused may take to read the answer.
constexpr std::chrono::seconds refusal_timeout = 2s;
constexpr std::size_t discard_bytes = 16 * 1024;

struct route_entry {
    access needed = access::open;
    std::variant<admin_handler, deferred_handler> handler;
};

/// Waits for the response of a deferred handler, and throws what the handler throws; the coroutine resumes on
/// its own executor.
boost::asio::awaitable<admin_response> answer_of(const deferred_handler& handler,
                                                 const admin_request& request) {
    const auto start = [&](auto done) {
        auto shared_done = std::make_shared<decltype(done)>(std::move(done));
        auto has_ended = std::make_shared<std::atomic<bool>>(false);
        const auto end = [shared_done, has_ended](std::exception_ptr failure, admin_response response) {
            if (has_ended->exchange(true)) {
                return;
            }
            const auto executor = boost::asio::get_associated_executor(*shared_done);
            boost::asio::post(executor, [shared_done, failure, response = std::move(response)]() mutable {
                std::move (*shared_done)(failure, std::move(response));
            });
        };
        try {
            handler(request, [end](admin_response response) { end(nullptr, std::move(response)); });
        } catch (...) {
            end(std::current_exception(), {});
        }
    };
    using token = const boost::asio::use_awaitable_t<>&;
    co_return co_await boost::asio::async_initiate<token, void(std::exception_ptr, admin_response)>(
        start, boost::asio::use_awaitable);
}

bool same_secret(std::string_view left, std::string_view right) {
    return left.size() == right.size() && CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

admin_response refusal(unsigned status, const std::string& title) {
    return {status, "application/problem+json",
            R"({"type":"about:blank","title":")" + title + R"(","status":)" + std::to_string(status) + "}"};
}

/// Returns the refusal of a message that can't be read; nothing if its sender has closed the connection.
std::optional<admin_response> refusal_of(boost::system::error_code failure) {
    const bool is_too_long = failure == http::error::buffer_overflow || failure == http::error::body_limit ||
                             failure == http::error::header_limit;
    if (is_too_long) {
        return refusal(413, "The message is too long");
    }
    const bool is_about_http =
        failure.category() == http::make_error_code(http::error::bad_method).category();
    const bool has_ended = failure == http::error::end_of_stream || failure == http::error::partial_message;
    return is_about_http && !has_ended ? std::optional(refusal(400, "This is not an HTTP/1.1 message"))
                                       : std::nullopt;
}

} // namespace

namespace internal {

/// Acceptor and routes; sessions keep this object alive.
class admin_state : public std::enable_shared_from_this<admin_state> {
public:
    admin_state(network::listening_acceptor connections, std::string token, logging::event_log& log)
        : m_log(log), m_acceptor(std::move(connections)), m_token(std::move(token)) {}

    void route(const std::string& method, const std::string& path, route_entry entry) {
        m_routes[path][method] = std::move(entry);
    }

    void accept() {
        const auto accepted = [weak = weak_from_this()](tcp::socket socket) {
            if (const auto self = weak.lock()) {
                self->serve(std::move(socket));
            }
        };
        const auto failed = [weak = weak_from_this()](const std::string& why, std::uint64_t left_out) {
            if (const auto self = weak.lock()) {
                self->not_accepted(why, left_out);
            }
        };
        m_acceptor.connections->start({accepted, failed});
    }

    void stop() { m_acceptor.connections->stop(); }

    [[nodiscard]] std::string address() const { return network::to_text(m_acceptor.address); }

private:
    using route_map = std::map<std::string, std::map<std::string, route_entry>>;

    void not_accepted(const std::string& why, std::uint64_t left_out) {
        m_log.write(logging::event_id::admin_not_accepted,
                    {{"why", why}, {"left_out", std::to_string(left_out)}});
    }

    void serve(tcp::socket socket) {
        auto strand = socket.get_executor();
        boost::asio::co_spawn(
            strand,
            [self = shared_from_this(), socket = std::move(socket)]() mutable {
                return self->session(boost::beast::tcp_stream(std::move(socket)));
            },
            boost::asio::detached);
    }

    boost::asio::awaitable<void> session(boost::beast::tcp_stream stream) {
        core::http_read_buffer buffer;
        bool keep_open = true;
        while (keep_open) {
            stream.expires_after(idle_timeout);
            http::request_parser<http::string_body> parser;
            parser.body_limit(body_limit_bytes);
            const auto [failure, bytes_read] = co_await http::async_read(stream, buffer, parser, to_tuple);
            if (failure) {
                co_await refuse_message(stream, failure);
                co_return;
            }
            auto response = co_await answer(parser.get());
            keep_open = response.keep_alive();
            const auto [broken, written] = co_await http::async_write(stream, response, to_tuple);
            keep_open = keep_open && !broken;
        }
    }

    /// Tells a client whose message can't be read why, and closes the connection. Says nothing to one that
    /// has closed it.
    static boost::asio::awaitable<void> refuse_message(boost::beast::tcp_stream& stream,
                                                       boost::system::error_code failure) {
        const auto reason = refusal_of(failure);
        if (!reason) {
            co_return;
        }
        http::response<http::string_body> response;
        response.version(11);
        response.result(reason->status);
        response.set(http::field::content_type, reason->content_type);
        response.body() = reason->body;
        response.content_length(response.body().size());
        response.keep_alive(false);
        stream.expires_after(refusal_timeout);
        co_await http::async_write(stream, response, to_tuple);
        boost::system::error_code ignored;
        stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        // NOTE: closing a socket with unread bytes would reset the connection before the client has read the
        // answer.
        std::array<char, discard_bytes> unread{};
        boost::system::error_code ended;
        while (!ended) {
            std::tie(ended, std::ignore) =
                co_await stream.async_read_some(boost::asio::buffer(unread), to_tuple);
        }
    }

    boost::asio::awaitable<http::response<http::string_body>>
    answer(http::request<http::string_body>& request) {
        const std::string target(request.target());
        const auto authorization = request[http::field::authorization];
        const admin_request admin_call{std::string(request.method_string()),
                                       target.substr(0, target.find('?')), std::move(request.body())};
        auto result = co_await contain(admin_call, {authorization.data(), authorization.size()});
        http::response<http::string_body> response;
        response.version(request.version());
        response.result(result.status);
        response.set(http::field::content_type, result.content_type);
        response.body() = std::move(result.body);
        response.content_length(response.body().size());
        response.keep_alive(request.keep_alive());
        co_return response;
    }

    [[nodiscard]] route_map::const_iterator find_route(const std::string& path) const {
        const auto found = m_routes.find(path);
        const auto last_slash = path.rfind('/');
        if (found != m_routes.end() || last_slash == std::string::npos) {
            return found;
        }
        return m_routes.find(path.substr(0, last_slash + 1));
    }

    /// Handles a request; one whose handler throws gets an answer all the same.
    boost::asio::awaitable<admin_response> contain(const admin_request& request,
                                                   std::string_view authorization) const {
        std::exception_ptr failure;
        try {
            co_return co_await handle(request, authorization);
        } catch (...) {
            failure = std::current_exception();
        }
        m_log.write(logging::event_id::handler_failed,
                    {{"work", request.method + " " + request.path}, {"why", core::describe(failure)}});
        co_return refusal(500, "An internal error ended this request");
    }

    boost::asio::awaitable<admin_response> handle(const admin_request& request,
                                                  std::string_view authorization) const {
        const auto found = find_route(request.path);
        if (found == m_routes.end()) {
            co_return refusal(404, "No such path");
        }
        const auto route = found->second.find(request.method);
        if (route == found->second.end()) {
            co_return refusal(405, "Method not allowed here");
        }
        const bool allowed = route->second.needed == access::open ||
                             (!m_token.empty() && same_secret(authorization, "Bearer " + m_token));
        if (!allowed) {
            co_return refusal(401, "This change needs the token of the daemon's settings");
        }
        if (const auto* immediate = std::get_if<admin_handler>(&route->second.handler)) {
            co_return (*immediate)(request);
        }
        co_return co_await answer_of(std::get<deferred_handler>(route->second.handler), request);
    }

    logging::event_log& m_log;
    network::listening_acceptor m_acceptor;
    std::string m_token;
    route_map m_routes;
};

} // namespace internal

admin_server::admin_server(boost::asio::io_context& io, const std::string& address, const std::string& token,
                           const core::clock& clock, logging::event_log& log)
    : admin_server(network::listen(io, network::parse_address(address), clock), token, log) {}

admin_server::admin_server(network::listening_acceptor connections, const std::string& token,
                           logging::event_log& log)
    : m_state(std::make_shared<internal::admin_state>(std::move(connections), token, log)) {}

admin_server::~admin_server() = default;

void admin_server::route(const std::string& method, const std::string& path, access needed,
                         admin_handler handler) {
    m_state->route(method, path, {needed, std::move(handler)});
}

void admin_server::route_deferred(const std::string& method, const std::string& path, access needed,
                                  deferred_handler handler) {
    m_state->route(method, path, {needed, std::move(handler)});
}

void admin_server::start() {
    m_state->accept();
}

void admin_server::stop() {
    m_state->stop();
}

std::string admin_server::address() const {
    return m_state->address();
}

} // namespace monsoonlift::admin
