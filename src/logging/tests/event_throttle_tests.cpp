#include "logging/event_throttle.h"

#include "testing/manual_clock.h"

#include <atomic>
#include <thread>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;

TEST_CASE("the first event of each window is written and the others are counted", "[events]") {
    testing::manual_clock clock;
    logging::event_throttle throttle(clock, 10s);
    CHECK(throttle.take() == 0);
    CHECK_FALSE(throttle.take());
    clock.advance(10s - 1ns);
    CHECK_FALSE(throttle.take());
    clock.advance(1ns);
    CHECK(throttle.take() == 2);
    CHECK_FALSE(throttle.take());
}

TEST_CASE("an event after an idle period is written immediately", "[events]") {
    testing::manual_clock clock;
    logging::event_throttle throttle(clock, 10s);
    CHECK(throttle.take() == 0);
    clock.advance(1h);
    CHECK(throttle.take() == 0);
}

TEST_CASE("concurrent threads write one event per window and lose no count", "[events][threads]") {
    constexpr std::uint64_t times = 2000;
    testing::manual_clock clock;
    logging::event_throttle throttle(clock, 10s);
    std::atomic<std::uint64_t> written = 0;
    const auto work = [&] {
        for (std::uint64_t i = 0; i < times; ++i) {
            written += throttle.take() ? 1 : 0;
        }
    };
    std::thread first(work);
    std::thread second(work);
    first.join();
    second.join();
    CHECK(written == 1);
    clock.advance(10s);
    CHECK(throttle.take() == 2 * times - 1);
}
