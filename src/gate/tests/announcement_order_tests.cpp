#include "gate/announcement_order.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::gate;
using monsoonlift::core::departed_life;

TEST_CASE("an announcement is overtaken by a later one of its life and by any of a later life",
          "[announcement_order]") {
    struct order_case {
        const char* what;
        announcement_mark newest;
        announcement_mark offered;
        bool overtaken;
    };
    const order_case cases[] = {
        {"the next one", {"a", 100, 4}, {"a", 100, 5}, false},
        {"a copy", {"a", 100, 4}, {"a", 100, 4}, true},
        {"a delayed one", {"a", 100, 4}, {"a", 100, 3}, true},
        {"the first of the next life", {"a", 100, 4}, {"b", 200, 1}, false},
        {"the next life under the same name", {"a", 100, 4}, {"a", 200, 1}, false},
        {"a delayed one of an earlier life", {"b", 200, 1}, {"a", 100, 9}, true},
        {"of an earlier life under the same name", {"a", 200, 1}, {"a", 100, 9}, true},
        {"another name at the same start", {"a", 100, 4}, {"b", 100, 1}, false},
        {"no start is told", {"a", 0, 4}, {"a", 0, 5}, false},
    };
    for (const auto& wanted : cases) {
        INFO(wanted.what);
        CHECK(is_overtaken(wanted.newest, wanted.offered) == wanted.overtaken);
    }
    CHECK_FALSE(is_overtaken(std::nullopt, {"a", 100, 1}));
}

TEST_CASE("a life that leaves never comes back", "[announcement_order]") {
    struct leaving_case {
        const char* what;
        departed_life departed;
        announcement_mark offered;
        bool left;
    };
    const leaving_case cases[] = {
        {"delayed past the farewell", {"a", 100}, {"a", 100, 22}, true},
        {"of an earlier life", {"b", 200}, {"a", 100, 22}, true},
        {"the next life", {"a", 100}, {"b", 200, 1}, false},
        {"the next life under the same name", {"a", 100}, {"a", 200, 1}, false},
        {"another one started at that time", {"a", 100}, {"b", 100, 1}, false},
        {"the farewell told no start and came after this one's", {"a", 0, 500}, {"a", 100, 1}, true},
        {"the farewell told no start and came before this one's", {"a", 0, 500}, {"a", 600, 1}, false},
        {"the farewell told no start, another name", {"a", 0, 500}, {"b", 100, 1}, false},
        {"the farewell told neither a start nor when it came", {"a", 0, 0}, {"a", 100, 1}, true},
        {"the start of the one offered isn't told", {"a", 100}, {"a", 0, 1}, true},
        {"the start of the one offered isn't told, another name", {"a", 100}, {"b", 0, 1}, false},
        {"no start is told at all", {"a", 0, 500}, {"a", 0, 1}, true},
    };
    for (const auto& wanted : cases) {
        INFO(wanted.what);
        CHECK(has_left({wanted.departed}, wanted.offered) == wanted.left);
    }
    CHECK_FALSE(has_left({}, {"a", 100, 1}));
}

TEST_CASE("a farewell of an earlier life says nothing about the later one", "[announcement_order]") {
    struct farewell_case {
        const char* what;
        announcement_mark newest;
        departed_life leaving;
        bool late;
    };
    const farewell_case cases[] = {
        {"the life itself", {"a", 100, 4}, {"a", 100}, false},
        {"of an earlier life", {"b", 200, 1}, {"a", 100}, true},
        {"of an earlier life under the same name", {"a", 200, 1}, {"a", 100}, true},
        {"of a later life that has announced nothing", {"a", 100, 4}, {"b", 200}, false},
        {"no start is told, the same name", {"a", 100, 4}, {"a", 0}, false},
        {"no start is told, another name", {"a", 100, 4}, {"b", 0}, true},
    };
    for (const auto& wanted : cases) {
        INFO(wanted.what);
        CHECK(is_late_farewell(wanted.newest, wanted.leaving) == wanted.late);
    }
    CHECK_FALSE(is_late_farewell(std::nullopt, {"a", 100}));
}
