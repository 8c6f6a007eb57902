#include "transfer/watchdog.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <memory>

using namespace monsoonlift;
using namespace monsoonlift::transfer;
using namespace std::chrono_literals;

namespace {

core::steady_time in(std::chrono::seconds time) {
    return boost::asio::steady_timer::clock_type::now() + time;
}

} // namespace

TEST_CASE("a limit between the timer's and the last one does not set the timer again", "[transfer]") {
    boost::asio::io_context io;
    const auto guard = std::make_shared<watchdog>(io.get_executor());
    bool expired = false;
    const auto first = in(3600s);
    guard->start(first, [&] { expired = true; });
    for (int request = 0; request < 10; ++request) {
        guard->allow_until(first + 7200s);
        guard->allow_until(first + 60s);
    }
    REQUIRE(io.poll() == 0);
    REQUIRE_FALSE(expired);
}

TEST_CASE("a limit before the timer's takes effect at once", "[transfer]") {
    boost::asio::io_context io;
    const auto guard = std::make_shared<watchdog>(io.get_executor());
    bool expired = false;
    guard->start(in(3600s), [&] { expired = true; });
    guard->allow_until(in(7200s));
    guard->allow_until(core::steady_time());
    io.run();
    REQUIRE(expired);
}

TEST_CASE("a stopped watchdog releases its handler and never calls it", "[transfer]") {
    boost::asio::io_context io;
    const auto guard = std::make_shared<watchdog>(io.get_executor());
    auto held = std::make_shared<bool>(false);
    guard->start(in(3600s), [held] { *held = true; });
    guard->stop();
    REQUIRE(held.use_count() == 1);
    guard->allow_until(core::steady_time());
    io.run();
    REQUIRE_FALSE(*held);
}
