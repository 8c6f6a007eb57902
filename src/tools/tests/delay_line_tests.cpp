#include "tools/delay_line.h"

#include <catch2/catch.hpp>

namespace monsoonlift::tools {
namespace {

using namespace std::chrono_literals;

const core::steady_time start{1h};

} // namespace

TEST_CASE("a link without jitter and stalls delays every piece by the same time", "[tools]") {
    relay_options options;
    options.delay = 4ms;
    delay_line line(options, 1);
    CHECK(line.due(start) == start + 4ms);
    CHECK(line.due(start + 1ms) == start + 5ms);
}

TEST_CASE("pieces keep their order and queue behind a stalled piece", "[tools]") {
    relay_options options;
    options.delay = 4ms;
    options.jitter = 1ms;
    options.stall_share = 0.1;
    options.stall = 50ms;
    delay_line line(options, 1);
    core::steady_time last;
    int stalled = 0;
    for (int i = 0; i < 1000; ++i) {
        const core::steady_time now = start + i * 100ms;
        const core::steady_time due = line.due(now);
        CHECK(due >= last);
        CHECK(due >= now + 4ms);
        stalled += due >= now + 54ms ? 1 : 0;
        last = due;
    }
    CHECK(stalled > 60);
    CHECK(stalled < 140);
}

} // namespace monsoonlift::tools
