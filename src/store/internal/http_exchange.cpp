#include "store/internal/http_exchange.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "core/http_status.h"
#include "core/network_address.h"

namespace monsoonlift::store::internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t max_answer_bytes = 16ULL * 1024 * 1024;
constexpr unsigned http_1_1 = 11;
constexpr unsigned max_interim_answers = 15;

bool is_safe(http::verb method) {
    return method == http::verb::get || method == http::verb::head;
}

} // namespace

std::optional<asio::ip::tcp::endpoint> parse_endpoint(const std::string& address) {
    const auto parsed = core::parse_network_address(address);
    return parsed ? std::optional(parsed->endpoint<asio::ip::tcp>()) : std::nullopt;
}

http_exchange::http_exchange(std::shared_ptr<connection_pool> pool, std::string address, http_request request,
                             std::chrono::milliseconds patience, http_client::handler done)
    : m_pool(std::move(pool)), m_address(std::move(address)),
      m_deadline(std::chrono::steady_clock::now() + patience),
      m_wanted_fields(std::move(request.wanted_fields)), m_done(std::move(done)) {
    m_request.method_string(request.method);
    m_request.target(request.target);
    m_request.version(http_1_1);
    m_request.set(http::field::host, m_address);
    for (const auto& header : request.headers) {
        m_request.set(header.name, header.value);
    }
    m_request.body() = std::move(request.body);
    m_request.prepare_payload();
}

void http_exchange::start() {
    m_stream = m_pool->take(m_address);
    m_reused = m_stream != nullptr;
    if (m_reused) {
        write();
        return;
    }
    connect();
}

void http_exchange::connect() {
    const auto endpoint = parse_endpoint(m_address);
    if (!endpoint) {
        finish(core::captured_failure<http_reply>(
            {core::error_code::invalid_input, "not an address of the form ip:port: " + m_address}));
        return;
    }
    m_stream = m_pool->make_stream();
    m_stream->expires_at(m_deadline);
    m_stream->async_connect(*endpoint, [self = shared_from_this()](const boost::system::error_code& failure) {
        self->on_connected(failure);
    });
}

void http_exchange::on_connected(const boost::system::error_code& failure) {
    if (failure) {
        finish(core::captured_failure<http_reply>(
            {core::error_code::unavailable, "can't connect to " + m_address + ": " + failure.message()}));
        return;
    }
    boost::system::error_code ignored;
    m_stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    write();
}

void http_exchange::write() {
    m_stream->expires_at(m_deadline);
    http::async_write(*m_stream, m_request,
                      [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
                          self->on_written(failure);
                      });
}

void http_exchange::on_written(const boost::system::error_code& failure) {
    if (failure) {
        on_stream_error(failure);
        return;
    }
    m_buffer.clear();
    read_answer();
}

void http_exchange::read_answer() {
    m_parser.emplace();
    m_parser->body_limit(max_answer_bytes);
    http::async_read(*m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](const boost::system::error_code& read_failure, std::size_t) {
                         self->on_read(read_failure);
                     });
}

void http_exchange::on_read(const boost::system::error_code& failure) {
    if (failure) {
        on_stream_error(failure);
        return;
    }
    if (core::is_interim(*m_parser) && m_interim_answers < max_interim_answers) {
        ++m_interim_answers;
        read_answer();
        return;
    }
    if (!core::is_final_status(m_parser->get().result_int())) {
        fail("its status is none of HTTP");
        return;
    }
    http_reply reply{m_parser->get().result_int(), std::move(m_parser->get().body())};
    for (const auto& name : m_wanted_fields) {
        const auto found = m_parser->get().find(name);
        if (found != m_parser->get().end()) {
            reply.headers.push_back({name, std::string(found->value())});
        }
    }
    if (m_parser->get().keep_alive()) {
        m_stream->expires_never();
        m_pool->give_back(m_address, std::move(m_stream));
    }
    finish(std::move(reply));
}

void http_exchange::on_stream_error(const boost::system::error_code& failure) {
    const bool timed_out = std::chrono::steady_clock::now() >= m_deadline;
    if (m_reused && is_safe(m_request.method()) && !timed_out) {
        m_reused = false;
        connect();
        return;
    }
    fail(failure.message());
}

void http_exchange::fail(const std::string& why) {
    finish(core::captured_failure<http_reply>({core::error_code::timeout,
                                               "no answer from " + m_address + ": " + why,
                                               core::verdict::may_have_run}));
}

void http_exchange::finish(core::result<http_reply> outcome) {
    auto shared_outcome = std::make_shared<core::result<http_reply>>(std::move(outcome));
    asio::post(m_pool->executor(),
               [done = std::move(m_done), shared_outcome] { done(std::move(*shared_outcome)); });
}

} // namespace monsoonlift::store::internal
