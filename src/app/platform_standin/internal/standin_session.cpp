#include "app/platform_standin/standin_session.h"

#include <string>
#include <utility>

#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "store/limits.h"

namespace monsoonlift::platform_standin {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t max_body_bytes = 2 * store::max_value_bytes;

} // namespace

standin_session::standin_session(boost::asio::ip::tcp::socket socket, std::shared_ptr<standin_state> state)
    : m_stream(std::move(socket)), m_state(std::move(state)), m_timer(m_stream.get_executor()) {
    boost::system::error_code ignored;
    m_stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
}

void standin_session::start() {
    read();
}

void standin_session::read() {
    m_parser.emplace();
    m_parser->body_limit(max_body_bytes);
    http::async_read(m_stream, m_buffer, *m_parser,
                     [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
                         self->on_read(failure);
                     });
}

void standin_session::on_read(const boost::system::error_code& failure) {
    if (failure) {
        close();
        return;
    }
    auto& message = m_parser->get();
    proceed(handle(*m_state, {std::string(message.method_string()), std::string(message.target()),
                              std::move(message.body())}));
}

void standin_session::proceed(handling outcome) {
    if (auto* reply = std::get_if<standin_reply>(&outcome)) {
        answer(std::move(*reply));
        return;
    }
    if (const auto* watch = std::get_if<pending_watch>(&outcome)) {
        m_watch_ends = std::chrono::steady_clock::now() + watch->patience;
        wait(*watch);
        return;
    }
    wait_for_end_of_outage();
}

void standin_session::wait(const pending_watch& watch) {
    m_watch = watch;
    m_callback_key =
        call_at_next_change(*m_state, [self = shared_from_this()] { self->recheck_watch(false); });
    m_timer.expires_at(m_watch_ends);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure) {
            self->recheck_watch(true);
        }
    });
}

void standin_session::recheck_watch(bool expired) {
    if (!m_watch) {
        return;
    }
    const auto watch = *std::exchange(m_watch, std::nullopt);
    m_timer.cancel();
    cancel_callback(*m_state, m_callback_key);
    auto outcome = resume(*m_state, watch, expired);
    if (std::holds_alternative<pending_watch>(outcome)) {
        wait(watch);
        return;
    }
    proceed(std::move(outcome));
}

void standin_session::wait_for_end_of_outage() {
    call_at_next_change(*m_state, [self = shared_from_this()] {
        if (self->m_state->faults.outage) {
            self->wait_for_end_of_outage();
            return;
        }
        self->close();
    });
}

void standin_session::answer(standin_reply reply) {
    if (reply.delay.count() == 0) {
        write(std::move(reply));
        return;
    }
    m_timer.expires_after(reply.delay);
    m_timer.async_wait([self = shared_from_this(), reply](const boost::system::error_code& failure) {
        if (!failure) {
            self->write(reply);
        }
    });
}

void standin_session::write(standin_reply reply) {
    if (reply.lost) {
        close();
        return;
    }
    const auto& request = m_parser->get();
    m_response = {};
    m_response.version(request.version());
    m_response.result(reply.status);
    m_response.set(http::field::content_type, "application/json");
    if (!m_state->era_field.empty()) {
        m_response.set(m_state->era_field, std::to_string(m_state->era));
    }
    m_response.keep_alive(request.keep_alive());
    m_response.body() = std::move(reply.body);
    m_response.prepare_payload();
    http::async_write(m_stream, m_response,
                      [self = shared_from_this()](const boost::system::error_code& failure, std::size_t) {
                          if (failure || !self->m_response.keep_alive()) {
                              self->close();
                              return;
                          }
                          self->read();
                      });
}

void standin_session::close() {
    boost::system::error_code ignored;
    m_stream.socket().close(ignored);
}

} // namespace monsoonlift::platform_standin
