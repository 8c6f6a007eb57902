#include "lifecycle/drain_watch.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;

TEST_CASE("an overdue drain is reported too early, not at all or more than once", "[lifecycle]") {
    testing::manual_clock clock;
    lifecycle::drain_watch watch(clock);
    clock.advance(1h);
    CHECK_FALSE(watch.is_overdue());
    watch.begin(5s);
    clock.advance(5s - 1ns);
    CHECK_FALSE(watch.is_overdue());
    clock.advance(1ns);
    CHECK(watch.is_overdue());
    clock.advance(1h);
    CHECK_FALSE(watch.is_overdue());
}
