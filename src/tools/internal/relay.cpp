#include "tools/relay.h"

#include "network/acceptor.h"
#include "network/failure_printer.h"
#include "tools/delay_line.h"
#include "tools/network_address.h"

#include <array>
#include <deque>
#include <stdexcept>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace monsoonlift::tools {
namespace internal {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

constexpr std::size_t piece_bytes = 16 * 1024;
constexpr std::size_t max_queued_pieces = 256; ///< Maximum queued in one direction, like a TCP window.

tcp::endpoint address_or_throw(const std::string& text) {
    return core::settle(
        [&] { return parse_address(text); }, [](tcp::endpoint address) { return address; },
        [](const core::error& failure) -> tcp::endpoint { throw std::invalid_argument(failure.message); });
}

/// Returns the options for a connection from `caller`, without any delay if its address is `prompt_from`,
/// that is, if the caller is on this side of the simulated link.
relay_options options_for(const tcp::endpoint& caller, const relay_options& options) {
    if (caller.address().to_string() != options.prompt_from) {
        return options;
    }
    relay_options prompt = options;
    prompt.delay = prompt.jitter = prompt.stall = std::chrono::microseconds(0);
    return prompt;
}

/// Bytes received and not forwarded yet, and the time at which to forward them.
struct piece {
    core::steady_time due;
    std::vector<char> bytes;
};

/// A connection accepted from a caller and the connection opened to the target for it.
class relay_session : public std::enable_shared_from_this<relay_session> {
public:
    relay_session(tcp::socket caller, const core::clock& clock, const relay_options& options,
                  std::uint64_t seed)
        : m_clock(clock), m_caller(std::move(caller)), m_target(m_caller.get_executor()),
          m_to_target(m_caller.get_executor(), options, 2 * seed),
          m_to_caller(m_caller.get_executor(), options, 2 * seed + 1) {}

    asio::awaitable<void> run(tcp::endpoint target) {
        const auto self = shared_from_this();
        boost::system::error_code error;
        co_await m_target.async_connect(target, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        m_target.set_option(tcp::no_delay(true), error);
        m_caller.set_option(tcp::no_delay(true), error);
        const auto executor = m_caller.get_executor();
        asio::co_spawn(executor, read_pieces(m_caller, m_to_target), asio::detached);
        asio::co_spawn(executor, write_pieces(m_target, m_to_target), asio::detached);
        asio::co_spawn(executor, read_pieces(m_target, m_to_caller), asio::detached);
        asio::co_spawn(executor, write_pieces(m_caller, m_to_caller), asio::detached);
    }

private:
    /// The pieces queued in one direction. `wake_writer` fires when a piece is added or due,
    /// `wake_reader` when a piece is removed.
    struct direction {
        direction(const asio::any_io_executor& executor, const relay_options& options, std::uint64_t seed)
            : line(options, seed), wake_writer(executor), wake_reader(executor) {}

        delay_line line;
        std::deque<piece> pieces;
        bool ended = false;
        asio::steady_timer wake_writer;
        asio::steady_timer wake_reader;
    };

    static asio::awaitable<void> wait(asio::steady_timer& timer, core::steady_time until) {
        timer.expires_at(until);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> read_pieces(tcp::socket& from, direction& way) {
        const auto self = shared_from_this();
        std::array<char, piece_bytes> buffer{};
        boost::system::error_code error;
        while (!error) {
            while (way.pieces.size() >= max_queued_pieces) {
                co_await wait(way.wake_reader, core::steady_time::max());
            }
            const std::size_t count = co_await from.async_read_some(
                asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, error));
            if (count > 0) {
                way.pieces.push_back({way.line.due(m_clock.now()), {buffer.begin(), buffer.begin() + count}});
                way.wake_writer.cancel();
            }
        }
        way.ended = true;
        way.wake_writer.cancel();
    }

    asio::awaitable<void> write_pieces(tcp::socket& to, direction& way) {
        const auto self = shared_from_this();
        boost::system::error_code error;
        while (!error && (!way.ended || !way.pieces.empty())) {
            if (way.pieces.empty()) {
                co_await wait(way.wake_writer, core::steady_time::max());
                continue;
            }
            if (way.pieces.front().due > m_clock.now()) {
                co_await wait(way.wake_writer, way.pieces.front().due);
                continue;
            }
            const piece next = std::move(way.pieces.front());
            way.pieces.pop_front();
            way.wake_reader.cancel();
            co_await asio::async_write(to, asio::buffer(next.bytes),
                                       asio::redirect_error(asio::use_awaitable, error));
        }
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored);
        if (error) {
            m_caller.close(ignored);
            m_target.close(ignored);
        }
    }

    const core::clock& m_clock;
    tcp::socket m_caller;
    tcp::socket m_target;
    direction m_to_target;
    direction m_to_caller;
};

class asio_relay final : public relay {
public:
    asio_relay(asio::io_context& context, const core::clock& clock, const relay_options& options)
        : m_clock(clock), m_options(options), m_target(address_or_throw(options.target)),
          m_acceptor(network::listen(context, address_or_throw(options.listen), clock)) {}

    [[nodiscard]] std::string address() const override { return to_string(m_acceptor.address); }

    void start() override {
        m_acceptor.connections->start({[this](tcp::socket caller) { serve(std::move(caller)); },
                                       network::print_failures("delay-relay")});
    }

private:
    void serve(tcp::socket caller) {
        boost::system::error_code ignored;
        const auto from = caller.remote_endpoint(ignored);
        const auto executor = caller.get_executor();
        const auto session = std::make_shared<relay_session>(
            std::move(caller), m_clock, options_for(from, m_options), m_options.seed + m_accepted++);
        asio::co_spawn(executor, session->run(m_target), asio::detached);
    }

    const core::clock& m_clock;
    relay_options m_options;
    tcp::endpoint m_target;
    network::listening_acceptor m_acceptor;
    std::uint64_t m_accepted = 0;
};

} // namespace internal

std::unique_ptr<relay> make_relay(boost::asio::io_context& context, const core::clock& clock,
                                  const relay_options& options) {
    return std::make_unique<internal::asio_relay>(context, clock, options);
}

} // namespace monsoonlift::tools
