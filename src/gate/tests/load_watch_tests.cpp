#include "gate/internal/load_watch.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::gate::internal;
using namespace std::chrono_literals;
using admission::shed_level;

namespace {

struct watch_under_test {
    load_changes update(shed_level level, std::uint32_t limit = 8) {
        routing::load_report report;
        report.level = level;
        report.limit = limit;
        return watch.update(report, clock.now());
    }

    testing::manual_clock clock;
    load_watch watch;
};

constexpr shed_level admits_all{};
constexpr shed_level sheds_second_class{1, 40};
constexpr shed_level sheds_first_class{0, 200};

} // namespace

TEST_CASE("overload is reported once at its start and once after a quiet period, not at each swing",
          "[gate][events]") {
    watch_under_test gate;
    CHECK_FALSE(gate.update(admits_all).overload_started);
    CHECK(gate.update(sheds_second_class).overload_started == sheds_second_class);
    for (int times = 0; times < 20; ++times) {
        gate.clock.advance(500ms);
        const auto changes = gate.update(times % 2 == 0 ? admits_all : sheds_second_class);
        CHECK_FALSE(changes.overload_started);
        CHECK_FALSE(changes.overload_lasted);
    }
    gate.clock.advance(load_watch::quiet_period - 1ns);
    CHECK_FALSE(gate.update(admits_all).overload_lasted);
    gate.clock.advance(1ns);
    CHECK(gate.update(admits_all).overload_lasted == 10s);
    CHECK_FALSE(gate.update(admits_all).overload_lasted);
    CHECK(gate.update(sheds_second_class).overload_started);
}

TEST_CASE("a shed level that moves to another class is reported, moves within a class are not",
          "[gate][events]") {
    watch_under_test gate;
    static_cast<void>(gate.update(sheds_second_class));
    CHECK_FALSE(gate.update(sheds_first_class).threshold);
    gate.clock.advance(load_watch::quiet_period);
    CHECK_FALSE(gate.update(shed_level{1, 7}).threshold);
    const auto moved = gate.update(sheds_first_class).threshold;
    REQUIRE(moved);
    CHECK(moved->from == sheds_second_class);
    CHECK(moved->to == sheds_first_class);
    CHECK_FALSE(gate.update(sheds_second_class).threshold);
}

TEST_CASE("a limit is reported only when it has at least doubled or halved", "[gate][events]") {
    struct limit_case {
        std::uint32_t from;
        std::uint32_t to;
        bool reported;
    };
    const limit_case cases[] = {{8, 15, false}, {8, 16, true}, {8, 5, false}, {8, 4, true}, {1, 2, true}};
    for (const auto& test_case : cases) {
        INFO(test_case.from << " to " << test_case.to);
        watch_under_test gate;
        CHECK_FALSE(gate.update(admits_all, test_case.from).limit);
        const auto change = gate.update(admits_all, test_case.to).limit;
        REQUIRE(change.has_value() == test_case.reported);
        if (test_case.reported) {
            CHECK(change->from == test_case.from);
            CHECK(change->to == test_case.to);
        }
    }
}

TEST_CASE("a limit that swings is not reported more often than once per quiet period", "[gate][events]") {
    watch_under_test gate;
    static_cast<void>(gate.update(admits_all, 8));
    CHECK(gate.update(admits_all, 2).limit);
    CHECK_FALSE(gate.update(admits_all, 8).limit);
    gate.clock.advance(load_watch::quiet_period);
    CHECK(gate.update(admits_all, 8).limit);
}
