#include "tools/backend_session.h"

#include "tools/daemon_client.h"
#include "tools/internal/backend_connection.h"
#include "tools/internal/control_answer.h"
#include "tools/network_address.h"

#include <optional>
#include <string>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace monsoonlift::tools {
namespace internal {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/// Serves the requests of one connection one after the other: simulates faults, slots, service time and
/// nested calls.
class backend_session : public std::enable_shared_from_this<backend_session> {
public:
    backend_session(asio::ip::tcp::socket socket, backend_state& state)
        : m_connection(std::move(socket)), m_pause(m_connection.executor()), m_state(state) {
        ++m_state.counters().connections;
        if (!m_state.options().daemon_http.empty()) {
            const auto use = [&](const asio::ip::tcp::endpoint& daemon) {
                m_nested.emplace(m_connection.executor(), daemon);
            };
            core::settle([&] { return parse_address(m_state.options().daemon_http); }, use,
                         [](const core::error&) {});
        }
    }

    backend_session(const backend_session&) = delete;
    backend_session& operator=(const backend_session&) = delete;

    ~backend_session() { --m_state.counters().connections; }

    asio::awaitable<void> run() {
        const auto self = shared_from_this();
        bool keep_open = true;
        while (keep_open) {
            keep_open = co_await serve_request();
        }
        m_connection.close();
    }

private:
    /// Reads and answers one request; returns false if the connection must be closed after it.
    asio::awaitable<bool> serve_request() {
        request_parser parser;
        parser.body_limit(boost::none);
        const bool began = co_await m_connection.read_head(parser);
        if (!began) {
            co_return false;
        }
        received_request request = read_head(parser);
        if (is_control(request.target.path)) {
            co_return co_await serve_control(parser, request);
        }
        ++m_state.counters().in_flight;
        const bool keep_open = co_await serve_call(parser, request);
        --m_state.counters().in_flight;
        co_return keep_open;
    }

    asio::awaitable<bool> serve_control(request_parser& parser, received_request& request) {
        request.target.echo = true;
        const bool complete = co_await read_body(parser, request);
        if (!complete) {
            co_return false;
        }
        simple_answer reply = control_answer(m_state, request);
        co_return co_await m_connection.write_answer(request, std::move(reply));
    }

    asio::awaitable<bool> serve_call(request_parser& parser, received_request& request) {
        m_state.count_arrival(request.target.token);
        const fault_settings faults = m_state.faults();
        crash_trigger(faults.crash_on).scan(request.target_text);
        if (faults.refuse) {
            co_return co_await fail(parser, request, http::status::service_unavailable);
        }
        if (m_state.draw_fail_fast()) {
            co_return co_await fail(parser, request, http::status::internal_server_error);
        }
        watch_client(parser);
        const bool has_slot = co_await take_slot();
        m_connection.stop_watching();
        if (!has_slot) {
            ++m_state.counters().cancelled;
            co_return false;
        }
        const bool keep_open = co_await run_request(parser, request, faults);
        m_state.slots().release();
        co_return keep_open;
    }

    // NOTE: g++ 12 miscompiles co_await in conditions and with aggregate temporaries, so this file stores
    // both in named variables.

    /// Reads the body and then answers with `status`, so that the connection stays usable.
    asio::awaitable<bool> fail(request_parser& parser, received_request& request, http::status status) {
        ++m_state.counters().failed;
        const bool complete = co_await read_body(parser, request);
        if (!complete) {
            co_return false;
        }
        simple_answer reply{status, R"({"error":"fault"})"};
        co_return co_await m_connection.write_answer(request, std::move(reply));
    }

    asio::awaitable<bool> run_request(request_parser& parser, received_request& request,
                                      const fault_settings& faults) {
        m_state.count_run(request.key);
        const bool complete = co_await read_body(parser, request);
        if (!complete) {
            ++m_state.counters().cancelled;
            co_return false;
        }
        watch_client(parser);
        co_await pause(faults.hang ? std::chrono::hours(1) : m_state.draw_service_time());
        bool nested_ok = true;
        if (!m_client_closed) {
            nested_ok = co_await make_nested_calls(request);
        }
        m_connection.stop_watching();
        if (m_client_closed) {
            ++m_state.counters().cancelled;
            co_return false;
        }
        if (!nested_ok) {
            ++m_state.counters().nested_failed;
            simple_answer reply{http::status::bad_gateway, R"({"error":"nested call"})"};
            co_return co_await m_connection.write_answer(request, std::move(reply));
        }
        ++m_state.counters().completed;
        co_return co_await answer(request);
    }

    asio::awaitable<bool> make_nested_calls(const received_request& request) {
        for (const nested_target& target : m_state.options().calls) {
            if (m_client_closed || !m_nested) {
                co_return false;
            }
            const nested_call nested{target, request.context, request.key, request.target.token};
            const bool answered = co_await m_nested->call(nested);
            if (!answered) {
                co_return false;
            }
        }
        co_return true;
    }

    asio::awaitable<bool> answer(received_request& request) {
        if (request.target.echo) {
            simple_answer reply{http::status::ok, std::move(request.echo)};
            co_return co_await m_connection.write_answer(request, std::move(reply));
        }
        if (request.target.body_length) {
            co_return co_await m_connection.write_content(request, *request.target.body_length);
        }
        boost::json::object body;
        body["service"] = m_state.options().service;
        body["path"] = request.target_text;
        body["method"] = request.method;
        body["request_length"] = request.length;
        body["sha256"] = request.sha256;
        body["run"] = m_state.counters().started.load();
        body["key"] = request.key;
        body["token"] = request.target.token;
        simple_answer reply{http::status::ok, boost::json::serialize(body)};
        co_return co_await m_connection.write_answer(request, std::move(reply));
    }

    asio::awaitable<bool> read_body(request_parser& parser, received_request& request) {
        if (request.expects_continue) {
            const bool continued = co_await m_connection.write_continue();
            if (!continued) {
                co_return false;
            }
        }
        crash_trigger trigger(m_state.faults().crash_on);
        co_return co_await m_connection.read_body(parser, request, trigger);
    }

    /// Waits for a slot; returns false if the client closed the connection first.
    asio::awaitable<bool> take_slot() {
        const auto self = shared_from_this();
        m_has_slot = false;
        const auto granted = [self] {
            asio::post(self->m_connection.executor(), [self] {
                self->m_has_slot = true;
                self->m_pause.cancel();
            });
        };
        const auto ticket = reinterpret_cast<std::uintptr_t>(this);
        if (m_state.slots().acquire(ticket, granted)) {
            co_return true;
        }
        while (!m_has_slot && !m_client_closed) {
            m_pause.expires_at(asio::steady_timer::time_point::max());
            boost::system::error_code ignored;
            co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        if (!m_client_closed) {
            co_return true;
        }
        if (m_has_slot || !m_state.slots().abandon(ticket)) {
            m_state.slots().release();
        }
        co_return false;
    }

    asio::awaitable<void> pause(std::chrono::nanoseconds time) {
        if (m_client_closed) {
            co_return;
        }
        m_pause.expires_after(std::chrono::duration_cast<asio::steady_timer::duration>(time));
        boost::system::error_code ignored;
        co_await m_pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    void watch_client(const request_parser& parser) {
        m_connection.watch(parser, [self = shared_from_this()] {
            self->m_client_closed = true;
            self->m_pause.cancel();
            if (self->m_nested) {
                self->m_nested->cancel();
            }
        });
    }

    backend_connection m_connection;
    asio::steady_timer m_pause;
    backend_state& m_state;
    std::optional<nested_client> m_nested;
    bool m_client_closed = false;
    bool m_has_slot = false;
};

} // namespace internal

void start_backend_session(boost::asio::ip::tcp::socket socket, backend_state& state) {
    namespace asio = boost::asio;
    const auto executor = socket.get_executor();
    const auto session = std::make_shared<internal::backend_session>(std::move(socket), state);
    asio::co_spawn(executor, session->run(), asio::detached);
}

} // namespace monsoonlift::tools
