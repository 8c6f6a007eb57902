// Tests what happens to the configuration in force when the platform's store is restored from an older copy.
#include "configuration/follower_rules.h"
#include "configuration/tests/freshness_fleet.h"
#include "configuration/tests/small_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::configuration;
using namespace monsoonlift::configuration::tests;
using namespace std::chrono_literals;

TEST_CASE("after a restore a watcher lists before it watches again", "[restore]") {
    const follower_rule rule;
    store::random_engine random(1);
    const core::steady_time now{1h};
    follower_state state;
    state.is_watcher = true;
    record_list(state, 500, 7, rule, random, now);
    REQUIRE(next_store_call(state, 7, rule, now) == store_call::watch);
    record_restore(state);
    CHECK(next_store_call(state, 7, rule, now) == store_call::list);
    record_watch(state, 300); // Of a watch that was waiting during the restore.
    CHECK(next_store_call(state, 7, rule, now) == store_call::list);
    record_list(state, 400, 7, rule, random, now);
    CHECK(state.cursor == 400);
    CHECK(next_store_call(state, 7, rule, now) == store_call::watch);
}

// Guards against watchers that wait behind a revision that the store assigns again, and against a daemon that
// goes back to the configuration of the copy.
TEST_CASE("a restore takes no configuration back, and the next one is adopted", "[restore]") {
    small_fleet fleet(4);
    fleet.accept(1);
    fleet.start();
    fleet.spread(1);
    const auto copy = fleet.store;
    for (std::uint64_t revision = 2; revision <= 6; ++revision) {
        fleet.accept(revision);
        fleet.run_for(1s);
    }
    REQUIRE(fleet.spread(6) < 60s);
    fleet.store = copy;
    for (const auto& each : fleet.daemons) {
        each->follower->on_store_restored();
    }
    fleet.run_for(40s);
    CHECK(fleet.count_at(6) == fleet.daemons.size());
    fleet.accept(7);
    CHECK(fleet.spread(7) < 10s);
}

// Guards against a removed key that is served because its revision's number was assigned to another text.
TEST_CASE("the same revision with another content proves nothing", "[restore]") {
    freshness_fleet fleet(10);
    fleet.start();
    fleet.run_for(2s);
    const auto copy = fleet.store;
    fleet.accept(2);
    fleet.run_for(3s);
    REQUIRE(fleet.serving() == 10);
    fleet.store = copy;
    auto other = stored_sample(2);
    other.submission = "of another operator";
    other.digest = digest_of(other);
    REQUIRE(fleet.store.update_if(current_object, fleet.store.get(current_object)->version, to_json(other)));
    fleet.run_for(fleet.rule.bound + fleet.step);
    CHECK(fleet.serving() == 0);
    fleet.accept(3);
    CHECK(fleet.time_until([&] { return fleet.serving() == 10; }, 10s) < 2s);
}
