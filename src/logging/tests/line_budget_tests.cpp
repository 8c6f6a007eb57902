#include "logging/line_budget.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::logging;
using namespace std::chrono_literals;

namespace {

constexpr double rate = 100;
const core::steady_time start{1h};

int lines_taken(line_budget& budget, importance line_importance, int lines, core::steady_time now) {
    int taken = 0;
    for (int times = 0; times < lines; ++times) {
        taken += take_line(budget, line_importance, now) ? 1 : 0;
    }
    return taken;
}

} // namespace

TEST_CASE("a surge of routine lines uses at most half of the budget", "[events]") {
    auto budget = make_line_budget(rate, start);
    CHECK(lines_taken(budget, importance::routine, 1000, start) == 100);
    CHECK(lines_taken(budget, importance::important, 1000, start) == 100);
    CHECK_FALSE(take_line(budget, importance::important, start));
}

TEST_CASE("the number of lines written over time does not exceed the rate", "[events]") {
    auto budget = make_line_budget(rate, start);
    int taken = 0;
    for (int tick = 0; tick < 1000; ++tick) {
        taken += lines_taken(budget, importance::important, 10, start + tick * 10ms);
    }
    CHECK(taken >= 1190);
    CHECK(taken <= 1200);
}

TEST_CASE("checking whether a line may be written uses no budget", "[events]") {
    auto budget = make_line_budget(1, start);
    for (int times = 0; times < 10; ++times) {
        CHECK(has_room(budget, importance::important, start));
    }
    CHECK(lines_taken(budget, importance::important, 10, start) == 2);
    CHECK_FALSE(has_room(budget, importance::important, start));
    CHECK(has_room(budget, importance::important, start + 1s));
}

TEST_CASE("a slightly older clock reading from another thread does not refill or shrink the budget",
          "[events]") {
    auto budget = make_line_budget(rate, start);
    CHECK(lines_taken(budget, importance::important, 200, start + 1s) == 200);
    CHECK_FALSE(take_line(budget, importance::important, start));
    CHECK(lines_taken(budget, importance::important, 1000, start + 2s) == 100);
}
