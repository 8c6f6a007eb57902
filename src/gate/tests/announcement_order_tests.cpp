#include "gate/announcement_order.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::gate;
using monsoonlift::core::departed_incarnation;

TEST_CASE(
    "an announcement that arrives after a later one, or after one of a later incarnation, is out of date",
    "[announcement_order]") {
    struct order_case {
        const char* what;
        announcement_position newest;
        announcement_position offered;
        bool superseded;
    };
    const order_case cases[] = {
        {"the next announcement", {"a", 100, 4}, {"a", 100, 5}, false},
        {"a copy", {"a", 100, 4}, {"a", 100, 4}, true},
        {"a delayed announcement", {"a", 100, 4}, {"a", 100, 3}, true},
        {"the first announcement of the next incarnation", {"a", 100, 4}, {"b", 200, 1}, false},
        {"the next incarnation under the same name", {"a", 100, 4}, {"a", 200, 1}, false},
        {"a delayed announcement of an earlier incarnation", {"b", 200, 1}, {"a", 100, 9}, true},
        {"an earlier incarnation under the same name", {"a", 200, 1}, {"a", 100, 9}, true},
        {"another name with the same start time", {"a", 100, 4}, {"b", 100, 1}, false},
        {"no start time is known", {"a", 0, 4}, {"a", 0, 5}, false},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        CHECK(is_superseded(test_case.newest, test_case.offered) == test_case.superseded);
    }
    CHECK_FALSE(is_superseded(std::nullopt, {"a", 100, 1}));
}

TEST_CASE("a delayed heartbeat does not revive an incarnation that has deregistered",
          "[announcement_order]") {
    struct leaving_case {
        const char* what;
        departed_incarnation departed;
        announcement_position offered;
        bool left;
    };
    const leaving_case cases[] = {
        {"delayed until after the deregistration", {"a", 100}, {"a", 100, 22}, true},
        {"an earlier incarnation", {"b", 200}, {"a", 100, 22}, true},
        {"the next incarnation", {"a", 100}, {"b", 200, 1}, false},
        {"the next incarnation under the same name", {"a", 100}, {"a", 200, 1}, false},
        {"another name with the same start time", {"a", 100}, {"b", 100, 1}, false},
        {"deregistration without start time, received after the announced start",
         {"a", 0, 500},
         {"a", 100, 1},
         true},
        {"deregistration without start time, received before the announced start",
         {"a", 0, 500},
         {"a", 600, 1},
         false},
        {"deregistration without start time, another name", {"a", 0, 500}, {"b", 100, 1}, false},
        {"deregistration without start time and time of receipt", {"a", 0, 0}, {"a", 100, 1}, true},
        {"announcement without start time", {"a", 100}, {"a", 0, 1}, true},
        {"announcement without start time, another name", {"a", 100}, {"b", 0, 1}, false},
        {"neither start time is known", {"a", 0, 500}, {"a", 0, 1}, true},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        CHECK(has_left({test_case.departed}, test_case.offered) == test_case.left);
    }
    CHECK_FALSE(has_left({}, {"a", 100, 1}));
}

TEST_CASE("a late deregistration of an earlier incarnation does not end the later one",
          "[announcement_order]") {
    struct deregistration_case {
        const char* what;
        announcement_position newest;
        departed_incarnation leaving;
        bool late;
    };
    const deregistration_case cases[] = {
        {"the newest incarnation", {"a", 100, 4}, {"a", 100}, false},
        {"an earlier incarnation", {"b", 200, 1}, {"a", 100}, true},
        {"an earlier incarnation under the same name", {"a", 200, 1}, {"a", 100}, true},
        {"a later incarnation that has announced nothing", {"a", 100, 4}, {"b", 200}, false},
        {"no start time, the same name", {"a", 100, 4}, {"a", 0}, false},
        {"no start time, another name", {"a", 100, 4}, {"b", 0}, true},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        CHECK(is_late_deregistration(test_case.newest, test_case.leaving) == test_case.late);
    }
    CHECK_FALSE(is_late_deregistration(std::nullopt, {"a", 100}));
}
