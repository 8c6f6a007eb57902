// Backend server deregistrations that a daemon's platform object holds for the daemon's next process.
#include "membership/tests/publisher_fixture.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::membership::tests;
using store::testing::write_outcome;

TEST_CASE("a recorded deregistration is lost if the daemon's process ends, orderly or not",
          "[deregistration_object]") {
    const std::vector<core::departed_incarnation> deregistrations{{"i-1", 100, 5000}, {"i-2", 0, 6000}};
    for (const bool in_order : {true, false}) {
        INFO("ended in order: " << in_order);
        publisher_fixture fleet;
        REQUIRE(fleet.pasts.size() == 1);
        CHECK(fleet.pasts.back().empty());
        CHECK(fleet.record(deregistrations));
        CHECK(fleet.record(deregistrations));
        fleet.restart(in_order);
        REQUIRE(fleet.pasts.size() == 2);
        CHECK(fleet.pasts.back() == deregistrations);
        fleet.restart(in_order);
        CHECK(fleet.pasts.back() == deregistrations);
    }
}

TEST_CASE("a deregistration is reported as recorded before the platform has stored it",
          "[deregistration_object]") {
    const std::vector<core::departed_incarnation> deregistrations{{"i-1", 0, 5000}};
    for (const auto outcome : {write_outcome::answer_lost, write_outcome::request_lost,
                               write_outcome::effect_late, write_outcome::refused}) {
        INFO("outcome " << static_cast<int>(outcome));
        publisher_fixture fleet;
        bool is_kept = false;
        fleet.api.set_write_outcomes({outcome});
        fleet.publisher->record_deregistrations(deregistrations, [&] {
            is_kept = true;
            const auto own = fleet.store.get("members/10.0.0.1:7000");
            REQUIRE(own);
            CHECK(own->value.find("i-1") != std::string::npos);
        });
        fleet.run();
        CHECK(is_kept);
        fleet.restart(false);
        CHECK(fleet.pasts.back() == deregistrations);
    }
    publisher_fixture fleet;
    fleet.api.set_outage(true);
    CHECK_FALSE(fleet.record(deregistrations));
    fleet.api.set_outage(false);
    fleet.run();
    fleet.restart(false);
    CHECK(fleet.pasts.back() == deregistrations);
}

TEST_CASE("a deregistration is overwritten by an earlier one", "[deregistration_object]") {
    const std::vector<core::departed_incarnation> first{{"i-1", 100, 5000}};
    const std::vector<core::departed_incarnation> second{{"i-1", 100, 5000}, {"i-2", 200, 9000}};
    publisher_fixture fleet;
    fleet.publisher->record_deregistrations(first, [] {});
    CHECK(fleet.record(second));
    fleet.restart(false);
    CHECK(fleet.pasts.back() == second);
}

TEST_CASE("a deregistration superseded by a later incarnation keeps the object after the daemon left",
          "[deregistration_object]") {
    publisher_fixture fleet;
    CHECK(fleet.record({{"i-1", 100, 5000}}));
    fleet.publisher->forget_deregistrations();
    fleet.publisher->remove([] {});
    fleet.run();
    CHECK_FALSE(fleet.has("10.0.0.1:7000"));
}

TEST_CASE("recorded deregistrations aren't reported soon after a platform outage",
          "[deregistration_object]") {
    const std::vector<core::departed_incarnation> deregistrations{{"i-1", 100, 5000}, {"i-2", 0, 6000}};
    publisher_fixture fleet;
    CHECK(fleet.record(deregistrations));
    fleet.api.set_outage(true);
    fleet.restart(false);
    for (int waited = 0; waited < 10; ++waited) {
        fleet.run();
    }
    CHECK(fleet.pasts.size() == 1);
    fleet.api.set_outage(false);
    fleet.run();
    REQUIRE(fleet.pasts.size() == 2);
    CHECK(fleet.pasts.back() == deregistrations);
}

TEST_CASE("a malformed deregistration hides the peer that its object names", "[deregistration_object]") {
    publisher_fixture fleet;
    auto value = value_of("10.0.0.2:7000", 2);
    value.insert(value.size() - 1, R"(,"backends_left":[7,{"id":7,"started_ms":"x"}])");
    static_cast<void>(fleet.store.update_if("members/10.0.0.2:7000", 0, value));
    fleet.list();
    CHECK(fleet.last_peers == std::vector<std::string>{"10.0.0.2:7000"});
}
