// Backend server deregistrations that a daemon's platform object holds for the daemon's next process.
#include "membership/tests/keeper_fixture.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::membership::tests;
using store::testing::write_fate;

TEST_CASE("a recorded deregistration is lost if the daemon's process ends, orderly or not",
          "[farewell_object]") {
    const std::vector<core::departed_life> left{{"i-1", 100, 5000}, {"i-2", 0, 6000}};
    for (const bool in_order : {true, false}) {
        INFO("ended in order: " << in_order);
        keeper_fixture fleet;
        REQUIRE(fleet.pasts.size() == 1);
        CHECK(fleet.pasts.back().empty());
        CHECK(fleet.record(left));
        CHECK(fleet.record(left));
        fleet.restart(in_order);
        REQUIRE(fleet.pasts.size() == 2);
        CHECK(fleet.pasts.back() == left);
        fleet.restart(in_order);
        CHECK(fleet.pasts.back() == left);
    }
}

TEST_CASE("a deregistration is reported as recorded before the platform has stored it", "[farewell_object]") {
    const std::vector<core::departed_life> left{{"i-1", 0, 5000}};
    for (const auto fate :
         {write_fate::answer_lost, write_fate::request_lost, write_fate::effect_late, write_fate::refused}) {
        INFO("fate " << static_cast<int>(fate));
        keeper_fixture fleet;
        bool is_kept = false;
        fleet.api.set_write_fates({fate});
        fleet.keeper->record_farewells(left, [&] {
            is_kept = true;
            const auto own = fleet.store.get("members/10.0.0.1:7000");
            REQUIRE(own);
            CHECK(own->value.find("i-1") != std::string::npos);
        });
        fleet.run();
        CHECK(is_kept);
        fleet.restart(false);
        CHECK(fleet.pasts.back() == left);
    }
    keeper_fixture fleet;
    fleet.api.set_outage(true);
    CHECK_FALSE(fleet.record(left));
    fleet.api.set_outage(false);
    fleet.run();
    fleet.restart(false);
    CHECK(fleet.pasts.back() == left);
}

TEST_CASE("a deregistration is overwritten by an earlier one", "[farewell_object]") {
    const std::vector<core::departed_life> first{{"i-1", 100, 5000}};
    const std::vector<core::departed_life> second{{"i-1", 100, 5000}, {"i-2", 200, 9000}};
    keeper_fixture fleet;
    fleet.keeper->record_farewells(first, [] {});
    CHECK(fleet.record(second));
    fleet.restart(false);
    CHECK(fleet.pasts.back() == second);
}

TEST_CASE("a deregistration superseded by a later incarnation keeps the object after the daemon left",
          "[farewell_object]") {
    keeper_fixture fleet;
    CHECK(fleet.record({{"i-1", 100, 5000}}));
    fleet.keeper->forget_farewells();
    fleet.keeper->remove([] {});
    fleet.run();
    CHECK_FALSE(fleet.has("10.0.0.1:7000"));
}

TEST_CASE("recorded deregistrations aren't reported soon after a platform outage", "[farewell_object]") {
    const std::vector<core::departed_life> left{{"i-1", 100, 5000}, {"i-2", 0, 6000}};
    keeper_fixture fleet;
    CHECK(fleet.record(left));
    fleet.api.set_outage(true);
    fleet.restart(false);
    for (int waited = 0; waited < 10; ++waited) {
        fleet.run();
    }
    CHECK(fleet.pasts.size() == 1);
    fleet.api.set_outage(false);
    fleet.run();
    REQUIRE(fleet.pasts.size() == 2);
    CHECK(fleet.pasts.back() == left);
}

TEST_CASE("a malformed deregistration hides the peer that its object names", "[farewell_object]") {
    keeper_fixture fleet;
    auto value = value_of("10.0.0.2:7000", 2);
    value.insert(value.size() - 1, R"(,"backends_left":[7,{"id":7,"started_ms":"x"}])");
    static_cast<void>(fleet.store.update_if("members/10.0.0.2:7000", 0, value));
    fleet.list();
    CHECK(fleet.last_peers == std::vector<std::string>{"10.0.0.2:7000"});
}
