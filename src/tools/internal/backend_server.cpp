#include "tools/backend_server.h"

#include "network/acceptor.h"
#include "network/failure_printer.h"
#include "tools/backend_session.h"
#include "tools/daemon_client.h"
#include "tools/network_address.h"

#include <chrono>
#include <optional>
#include <random>
#include <utility>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <boost/system/system_error.hpp>

namespace monsoonlift::tools {
namespace internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using namespace std::chrono_literals;

constexpr auto announce_interval = 1s;
constexpr auto post_timeout = 900ms;
constexpr auto idle_before_exit = 500ms;
constexpr auto max_drain_time = 60s;
constexpr auto drain_poll_interval = 20ms;
constexpr int withdraw_attempts = 3;

tcp::endpoint address_or_throw(const std::string& text) {
    return core::settle([&] { return parse_address(text); }, [](tcp::endpoint address) { return address; },
                        [](const core::error& failure) -> tcp::endpoint {
                            throw boost::system::system_error(
                                make_error_code(boost::system::errc::invalid_argument), failure.message);
                        });
}

/// Returns a random name, so that a restarted process at the same address has a different one.
std::string draw_instance() {
    std::random_device source;
    return std::to_string(source()) + "-" + std::to_string(source());
}

class asio_backend_server final : public backend_server {
public:
    asio_backend_server(asio::io_context& context, backend_state& state)
        : m_context(context), m_state(state), m_strand(asio::make_strand(context)),
          m_acceptor(network::listen(context, address_or_throw(state.options().listen), state.clock())),
          m_timer(m_strand) {
        if (!state.options().daemon_admin.empty()) {
            m_daemon = address_or_throw(state.options().daemon_admin);
        }
    }

    [[nodiscard]] std::string address() const override { return to_string(m_acceptor.address); }

    void start() override {
        const auto self = shared_from_this();
        const auto accepted = [weak = weak_from_this(), this](tcp::socket socket) {
            if (const auto alive = weak.lock()) {
                serve(std::move(socket));
            }
        };
        m_acceptor.connections->start({accepted, network::print_failures("backend-standin")});
        asio::co_spawn(m_strand, announce_all(), [self](const std::exception_ptr&) {});
    }

    void leave() override {
        const auto self = shared_from_this();
        asio::co_spawn(m_strand, withdraw_and_finish(), [self](const std::exception_ptr&) {});
    }

private:
    void serve(tcp::socket socket) {
        if (m_state.counters().connections >= m_state.options().connections) {
            return;
        }
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        start_backend_session(std::move(socket), m_state);
    }

    asio::awaitable<void> announce_all() {
        while (!m_leaving) {
            m_state.sample_load();
            if (m_daemon) {
                const std::string path = "/announce";
                const std::string body = announcement();
                co_await post_json(*m_daemon, path, body, post_timeout);
            }
            co_await wait(announce_interval);
        }
    }

    asio::awaitable<void> withdraw_and_finish() {
        m_leaving = true;
        const std::string path = "/withdraw";
        const std::string body = announcement();
        for (int attempt = 0; m_daemon && attempt < withdraw_attempts; ++attempt) {
            const bool withdrawn = co_await post_json(*m_daemon, path, body, post_timeout);
            if (withdrawn) {
                break;
            }
        }
        const auto start = std::chrono::steady_clock::now();
        auto last_busy = start;
        auto now = start;
        while (now - last_busy < idle_before_exit && now - start < max_drain_time) {
            co_await wait(drain_poll_interval);
            now = std::chrono::steady_clock::now();
            if (m_state.counters().in_flight > 0) {
                last_busy = now;
            }
        }
        m_context.stop();
    }

    asio::awaitable<void> wait(std::chrono::steady_clock::duration time) {
        asio::steady_timer timer(m_strand, time);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    [[nodiscard]] std::string announcement() const {
        boost::json::object body;
        body["service"] = m_state.options().service;
        body["address"] = address();
        body["slots"] = m_state.options().slots;
        body["connections"] = m_state.options().connections;
        body["instance"] = m_instance;
        return boost::json::serialize(body);
    }

    asio::io_context& m_context;
    backend_state& m_state;
    asio::strand<asio::io_context::executor_type> m_strand;
    network::listening_acceptor m_acceptor;
    asio::steady_timer m_timer;
    std::optional<tcp::endpoint> m_daemon;
    const std::string m_instance = draw_instance();
    bool m_leaving = false;
};

} // namespace internal

std::shared_ptr<backend_server> make_backend_server(boost::asio::io_context& context, backend_state& state) {
    return std::make_shared<internal::asio_backend_server>(context, state);
}

} // namespace monsoonlift::tools
