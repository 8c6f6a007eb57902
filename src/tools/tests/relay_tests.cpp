#include "tools/relay.h"

#include "testing/manual_clock.h"
#include "tools/network_address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <functional>

namespace monsoonlift::tools {
namespace {

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;

constexpr const char* near_ip = "127.0.0.2";
constexpr const char* far_ip = "127.0.0.3";
constexpr int max_handlers = 1'000'000;

/// A relay in front of a listening socket; its clock moves only when a test advances it.
struct relayed_target {
    relayed_target() {
        // NOTE: the relay's timers use the machine's clock, which must be ahead of the manual clock so that
        // they expire at once.
        clock.advance(-1h);
        under_test->start();
    }

    /// Connects through the relay from the IP address `from`; returns the caller's socket and the target's.
    std::pair<tcp::socket, tcp::socket> connect(const char* from) {
        tcp::socket caller(context);
        caller.open(tcp::v4());
        caller.bind({boost::asio::ip::make_address(from), 0});
        const auto relay = parse_address(under_test->address());
        caller.connect(relay.value());
        tcp::socket accepted(context);
        bool done = false;
        acceptor.async_accept(accepted, [&](boost::system::error_code) { done = true; });
        run_until([&] { return done; });
        return {std::move(caller), std::move(accepted)};
    }

    void run_until(const std::function<bool()>& condition) {
        for (int turn = 0; turn < max_handlers && !condition(); ++turn) {
            context.run_one();
        }
        REQUIRE(condition());
    }

    relay_options options() {
        relay_options chosen;
        chosen.target = to_string(acceptor.local_endpoint());
        chosen.prompt_from = near_ip;
        chosen.delay = 4ms;
        return chosen;
    }

    testing::manual_clock clock;
    boost::asio::io_context context;
    tcp::acceptor acceptor{context, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::unique_ptr<relay> under_test = make_relay(context, clock, options());
};

/// Sends one byte from `from` and receives it at `to`.
struct byte_in_transit {
    byte_in_transit(tcp::socket& from, tcp::socket& to) {
        boost::asio::async_read(to, boost::asio::buffer(arrived),
                                [this](boost::system::error_code failure, std::size_t) { done = !failure; });
        boost::asio::write(from, boost::asio::buffer("x", 1));
    }

    std::array<char, 1> arrived{};
    bool done = false;
};

} // namespace

TEST_CASE("a relay delays both directions, except for callers on this side of the simulated link",
          "[tools]") {
    relayed_target target;
    auto [far_caller, far_accepted] = target.connect(far_ip);
    auto [near_caller, near_accepted] = target.connect(near_ip);

    byte_in_transit far_forth(far_caller, far_accepted);
    byte_in_transit far_back(far_accepted, far_caller);
    byte_in_transit near_forth(near_caller, near_accepted);
    byte_in_transit near_back(near_accepted, near_caller);
    target.run_until([&] { return near_forth.done && near_back.done; });
    CHECK_FALSE(far_forth.done);
    CHECK_FALSE(far_back.done);

    target.clock.advance(4ms);
    target.run_until([&] { return far_forth.done && far_back.done; });
    CHECK(far_forth.arrived[0] == 'x');
}

} // namespace monsoonlift::tools
