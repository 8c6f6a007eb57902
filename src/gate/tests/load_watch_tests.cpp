#include "gate/internal/load_watch.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::gate::internal;
using namespace std::chrono_literals;
using admission::shed_level;

namespace {

struct watch_under_test {
    load_news look(shed_level level, std::uint32_t limit = 8) {
        routing::load_report report;
        report.level = level;
        report.limit = limit;
        return watch.look(report, clock.now());
    }

    testing::manual_clock clock;
    load_watch watch;
};

constexpr shed_level admits_all{};
constexpr shed_level cuts_second{1, 40};
constexpr shed_level cuts_first{0, 200};

} // namespace

TEST_CASE("overload is told once at its start and once after a calm time", "[gate][events]") {
    watch_under_test gate;
    CHECK_FALSE(gate.look(admits_all).overload_started);
    CHECK(gate.look(cuts_second).overload_started == cuts_second);
    for (int times = 0; times < 20; ++times) {
        gate.clock.advance(500ms);
        const auto news = gate.look(times % 2 == 0 ? admits_all : cuts_second);
        CHECK_FALSE(news.overload_started);
        CHECK_FALSE(news.overload_lasted);
    }
    gate.clock.advance(load_watch::calm - 1ns);
    CHECK_FALSE(gate.look(admits_all).overload_lasted);
    gate.clock.advance(1ns);
    CHECK(gate.look(admits_all).overload_lasted == 10s);
    CHECK_FALSE(gate.look(admits_all).overload_lasted);
    CHECK(gate.look(cuts_second).overload_started);
}

TEST_CASE("a threshold that reaches another class is told, its moves within a class are not",
          "[gate][events]") {
    watch_under_test gate;
    static_cast<void>(gate.look(cuts_second));
    CHECK_FALSE(gate.look(cuts_first).threshold);
    gate.clock.advance(load_watch::calm);
    CHECK_FALSE(gate.look(shed_level{1, 7}).threshold);
    const auto moved = gate.look(cuts_first).threshold;
    REQUIRE(moved);
    CHECK(moved->from == cuts_second);
    CHECK(moved->to == cuts_first);
    CHECK_FALSE(gate.look(cuts_second).threshold);
}

TEST_CASE("a limit is told when it has doubled or halved", "[gate][events]") {
    struct limit_case {
        std::uint32_t from;
        std::uint32_t to;
        bool told;
    };
    const limit_case cases[] = {{8, 15, false}, {8, 16, true}, {8, 5, false}, {8, 4, true}, {1, 2, true}};
    for (const auto& one : cases) {
        INFO(one.from << " to " << one.to);
        watch_under_test gate;
        CHECK_FALSE(gate.look(admits_all, one.from).limit);
        const auto change = gate.look(admits_all, one.to).limit;
        REQUIRE(change.has_value() == one.told);
        if (one.told) {
            CHECK(change->from == one.from);
            CHECK(change->to == one.to);
        }
    }
}

TEST_CASE("a limit that swings is told once in a while", "[gate][events]") {
    watch_under_test gate;
    static_cast<void>(gate.look(admits_all, 8));
    CHECK(gate.look(admits_all, 2).limit);
    CHECK_FALSE(gate.look(admits_all, 8).limit);
    gate.clock.advance(load_watch::calm);
    CHECK(gate.look(admits_all, 8).limit);
}
