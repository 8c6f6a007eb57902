#include "routing/call_times.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::routing;
using namespace std::chrono_literals;

TEST_CASE("the likely time of an unknown kind of call is the one given for it", "[call_times]") {
    call_times times;
    record_call_time(times, "status", 20ms);
    CHECK(likely_call_time(times, "dispatch", 1s) == 1s);
}

TEST_CASE("the likely time covers the spread of the durations seen", "[call_times]") {
    call_times steady;
    call_times spread;
    for (int call = 0; call < 200; ++call) {
        record_call_time(steady, "status", 100ms);
        record_call_time(spread, "status", call % 2 == 0 ? 50ms : 150ms);
    }
    CHECK(likely_call_time(steady, "status", 1s) < 101ms);
    CHECK(likely_call_time(spread, "status", 1s) > 150ms);
    CHECK(likely_call_time(spread, "status", 1s) < 400ms);
}

TEST_CASE("a call ends in time by its deadline or by its likely time", "[call_times]") {
    const core::steady_time now = core::steady_time{} + 1h;
    CHECK(ends_before(now + 500ms, now + 5s, now, 300ms));
    CHECK_FALSE(ends_before(now + 500ms, now + 5s, now, 700ms));
    CHECK(ends_before(now + 500ms, now + 400ms, now, 700ms));
    CHECK_FALSE(ends_before(now - 1ms, now + 5s, now, 0ms));
    CHECK(ends_before(core::steady_time::max(), now + 5s, now, 700ms));
}
