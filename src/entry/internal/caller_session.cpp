#include "entry/internal/caller_session.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

#include <exception>
#include <utility>

namespace monsoonlift::entry::internal {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::seconds close_timeout = 2s;

/// A connection that has waited less isn't closed for another: its first request may be on its way.
constexpr std::chrono::seconds shortest_idle = 1s;
constexpr auto not_idle = core::steady_time::max();

} // namespace

caller_session::caller_session(entry_state& shared, std::shared_ptr<entry_state> keep_alive,
                               boost::asio::ip::tcp::socket socket)
    : m_shared(shared), m_keep_alive(std::move(keep_alive)),
      m_watchdog(std::make_shared<transfer::watchdog>(socket.get_executor())),
      m_connection(std::make_shared<caller_connection>(
          std::move(socket), m_watchdog,
          connection_rules{shared.options.head_limit_bytes, shared.options.answer_patience,
                           shared.options.protocol, shared.clock})),
      m_idle_since(shared.clock.now()) {}

caller_session::~caller_session() {
    m_shared.sessions.ended();
}

void caller_session::start() {
    boost::asio::co_spawn(
        m_connection->strand(), [self = shared_from_this()] { return self->run(); },
        [self = shared_from_this()](const std::exception_ptr& failure) {
            if (failure) {
                self->m_connection->abort();
            }
            self->m_watchdog->stop();
        });
}

void caller_session::close_when_idle() {
    boost::asio::post(m_connection->strand(), [self = shared_from_this()] {
        self->m_connection->close_after_answer();
        if (self->m_is_idle) {
            self->end_wait(false);
        }
    });
}

void caller_session::close_if_idle() {
    m_idle_since = not_idle;
    boost::asio::post(m_connection->strand(), [self = shared_from_this()] {
        if (self->m_is_idle) {
            self->end_wait(true);
        }
    });
}

void caller_session::end_wait(bool closes_unread) {
    m_closes_unread = closes_unread;
    m_has_waited_on = true;
    m_watchdog->allow_until(m_shared.clock.now() + m_shared.options.head_patience);
    m_connection->end_wait(caller_connection::wait_end::before_request);
}

void caller_session::watch_until(core::steady_time until) {
    m_watchdog->start(until, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->out_of_time();
        }
    });
}

void caller_session::out_of_time() {
    if (!m_is_idle) {
        look_again_or_end();
        return;
    }
    if (const auto until = idle_until(); !m_has_waited_on && m_shared.clock.now() < until) {
        watch_until(until);
        return;
    }
    watch_until(m_shared.clock.now() + m_shared.options.head_patience);
    if (m_has_waited_on) {
        m_connection->end_wait(caller_connection::wait_end::always);
        return;
    }
    end_wait(true);
}

void caller_session::look_again_or_end() {
    if (m_looks.take()) {
        watch_until(m_shared.clock.now() + m_looks.interval());
        return;
    }
    const bool may_be_truncated = m_connection->is_answer_begun();
    if (m_is_closing && !may_be_truncated) {
        // NOTE: a reset would discard what the caller has not read yet of its last answer.
        m_connection->close_unread();
        return;
    }
    m_connection->abort();
}

core::steady_time caller_session::idle_until() const {
    const auto since = m_idle_since.load();
    return since == not_idle ? m_shared.clock.now() : since + m_shared.idle_patience();
}

std::optional<core::steady_time> caller_session::idle_since() const {
    const auto since = m_idle_since.load();
    const bool is_idle = since != not_idle && m_shared.clock.now() - since >= shortest_idle;
    return is_idle ? std::optional(since) : std::nullopt;
}

boost::asio::awaitable<void> caller_session::run() {
    watch_until(idle_until());
    co_await serve_requests();
    co_await wait_for_open(0);
    begin_close();
    co_await m_connection->close();
}

boost::asio::awaitable<void> caller_session::serve_requests() {
    while (true) {
        while (m_connection->can_go_on() && !may_read_ahead()) {
            watch_caller();
            co_await m_connection->wait_for_change();
        }
        if (!m_connection->can_go_on()) {
            co_return;
        }
        m_waits_for_head = true;
        if (m_connection->open_requests() == 0) {
            become_idle();
        }
        const auto outcome = co_await m_connection->read_head();
        m_waits_for_head = false;
        m_is_idle = false;
        m_idle_since = not_idle;
        m_looks = transfer::further_looks(transfer::looks_after_silence);
        if (outcome == caller_connection::head_outcome::not_begun && m_closes_unread) {
            m_connection->close_unread();
        }
        if (outcome != caller_connection::head_outcome::arrived) {
            co_await refuse_head(outcome);
            co_return;
        }
        if (m_shared.is_closing()) {
            m_connection->close_after_answer();
        }
        co_await take_request();
    }
}

bool caller_session::may_read_ahead() const {
    const auto open = m_connection->open_requests();
    if (open == 0) {
        return true;
    }
    return !m_runs_alone && !m_connection->is_to_close() && open < m_shared.options.most_pipelined &&
           m_connection->held_bytes() < m_shared.options.most_held_bytes;
}

void caller_session::watch_caller() {
    // NOTE: a request that runs alone may have a body to read; it watches its caller once it has read it.
    if (!m_runs_alone) {
        m_connection->watch();
    }
}

boost::asio::awaitable<void> caller_session::wait_for_open(std::size_t count) {
    while (m_connection->open_requests() > count) {
        watch_caller();
        co_await m_connection->wait_for_change();
    }
}

boost::asio::awaitable<void> caller_session::take_request() {
    auto request = std::make_shared<request_connection>(m_connection, m_connection->take_head());
    auto exchange = std::make_shared<call_exchange>(m_shared, m_keep_alive, std::move(request));
    const bool runs_alone = !exchange->prepare();
    if (runs_alone) {
        co_await wait_for_open(1);
    }
    m_runs_alone = runs_alone;
    start_exchange(std::move(exchange));
}

void caller_session::start_exchange(std::shared_ptr<call_exchange> exchange) {
    boost::asio::co_spawn(
        m_connection->strand(),
        [self = shared_from_this(), exchange = std::move(exchange)] { return self->serve_request(exchange); },
        [self = shared_from_this()](const std::exception_ptr& failure) {
            if (failure) {
                self->m_connection->abort();
            }
            self->request_ended();
        });
}

boost::asio::awaitable<void> caller_session::serve_request(std::shared_ptr<call_exchange> exchange) {
    std::exception_ptr failure;
    try {
        co_await exchange->run();
    } catch (...) {
        failure = std::current_exception();
    }
    if (failure) {
        co_await exchange->break_off(failure);
    }
    exchange->finish();
}

void caller_session::request_ended() {
    if (m_connection->open_requests() > 0 || !m_waits_for_head || m_is_idle) {
        return;
    }
    if (m_connection->can_go_on()) {
        become_idle();
        return;
    }
    begin_close();
    m_connection->shut_down();
}

void caller_session::become_idle() {
    m_idle_since = m_shared.clock.now();
    m_watchdog->allow_until(idle_until());
    m_is_idle = true;
    m_closes_unread = false;
    m_has_waited_on = false;
}

void caller_session::begin_close() {
    if (!std::exchange(m_is_closing, true)) {
        m_watchdog->allow_until(m_shared.clock.now() + close_timeout);
    }
}

boost::asio::awaitable<void> caller_session::refuse_head(caller_connection::head_outcome outcome) {
    problem trouble;
    trouble.title = "The request is malformed";
    switch (outcome) {
    case caller_connection::head_outcome::too_large:
        trouble.status = 413;
        trouble.type = "head-too-large";
        trouble.detail = "the request line and headers must fit into " +
                         std::to_string(m_shared.options.head_limit_bytes) + " bytes";
        break;
    case caller_connection::head_outcome::malformed:
        trouble.status = 400;
        trouble.type = "malformed-http";
        trouble.detail = "this is not an HTTP/1.1 request";
        break;
    case caller_connection::head_outcome::incomplete:
        trouble.title = "The request is not whole";
        trouble.status = 408;
        trouble.type = "head-too-slow";
        trouble.detail = "the request line and headers did not arrive in time";
        break;
    default:
        m_connection->caller_left();
        co_return;
    }
    const auto request = std::make_shared<request_connection>(m_connection, m_connection->take_head());
    co_await wait_for_open(1);
    ++m_shared.calls;
    ++m_shared.refused;
    m_shared.classes.unknown().count_end(call_outcome::problem, trouble.run);
    m_shared.classes.unknown().count_problem(trouble);
    m_shared.events.malformed(trouble);
    co_await request->write_problem(trouble, 0);
    request->finish();
}

} // namespace monsoonlift::entry::internal
