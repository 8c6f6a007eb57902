#include <chrono>
#include <functional>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "configuration/follower_rules.h"
#include "configuration/tests/small_fleet.h"
#include "core/contain.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::configuration;
using tests::daemon_under_test;
using tests::member_of;
using tests::small_fleet;
using tests::stored_sample;

TEST_CASE("all daemons agree on two watchers per data centre, even after one dies and one drains",
          "[configuration]") {
    std::vector<membership::member> members;
    for (int at = 0; at < 30; ++at) {
        members.push_back(member_of("10.0.0." + std::to_string(at), at % 2 == 0 ? "palermo" : "catania"));
    }
    const auto watchers_of = [&](const std::string& data_centre) {
        std::vector<std::string> watchers;
        for (const auto& each : members) {
            const bool alive = each.status == membership::member_status::alive && !each.draining;
            if (alive && each.data_centre == data_centre &&
                is_watcher(each.id.address, data_centre, members, 2)) {
                watchers.push_back(each.id.address);
            }
        }
        return watchers;
    };
    const auto before = watchers_of("palermo");
    const auto elsewhere = watchers_of("catania");
    REQUIRE(before.size() == 2);
    REQUIRE(elsewhere.size() == 2);
    for (auto& each : members) {
        if (each.id.address == before[0]) {
            each.status = membership::member_status::dead;
        }
        if (each.id.address == before[1]) {
            each.draining = true;
        }
    }
    const auto after = watchers_of("palermo");
    REQUIRE(after.size() == 2);
    CHECK(after != before);
    CHECK(watchers_of("catania") == elsewhere);
    CHECK(is_watcher("10.9.9.9", "taraz-a", members, 2));
}

TEST_CASE("an accepted revision is in force in every daemon within 17 s and with few platform calls",
          "[configuration]") {
    small_fleet fleet(60);
    fleet.accept(1);
    fleet.start();
    fleet.run_for(10s);
    REQUIRE(fleet.count_at(1) == 60);
    const auto before = fleet.store_calls();
    for (std::uint64_t revision = 2; revision <= 4; ++revision) {
        fleet.accept(revision);
        CHECK(fleet.spread(revision) <= 17s);
    }
    CHECK(fleet.store_calls() - before <= 6 * 3 + 6);
}

TEST_CASE("daemons make few calls to the platform while the configuration does not change",
          "[configuration]") {
    small_fleet fleet(30);
    fleet.accept(1);
    fleet.start();
    fleet.run_for(10s);
    const auto before = fleet.store_calls();
    fleet.run_for(300s);
    const std::uint64_t watches = 6 * 300 / 25 + 6;
    CHECK(fleet.store_calls() - before <= watches + 30);
}

TEST_CASE("in a platform outage the revision stays in force; a new one is adopted within 17 s of its end",
          "[configuration]") {
    const bool silences[] = {false, true};
    for (const bool silent : silences) {
        INFO("silent " << silent);
        small_fleet fleet(12);
        fleet.accept(1);
        fleet.start();
        fleet.run_for(10s);
        fleet.set_outage(true, silent);
        fleet.run_for(120s);
        CHECK(fleet.count_at(1) == 12);
        fleet.accept(2);
        fleet.run_for(20s);
        CHECK(fleet.count_at(1) == 12);
        fleet.set_outage(false);
        fleet.run_for(17s);
        CHECK(fleet.count_at(2) == 12);
    }
}

TEST_CASE("a daemon that starts during a platform outage gets the configuration from its peers",
          "[configuration]") {
    small_fleet fleet(6);
    fleet.accept(4);
    fleet.start();
    fleet.run_for(10s);
    fleet.set_outage(true, true);
    auto& fresh = fleet.add("10.0.1.1", "palermo");
    fresh.api.set_outage(true, true);
    fresh.follower->start();
    CHECK_FALSE(fresh.follower->has_settled());
    fleet.run_for(10s);
    CHECK(fresh.holder.revision() == 4);
    CHECK(fresh.follower->has_settled());
}

TEST_CASE("a lone daemon in a platform outage logs the missing configuration and adopts it afterwards",
          "[configuration]") {
    small_fleet fleet(1);
    fleet.accept(4);
    fleet.set_outage(true);
    fleet.start();
    fleet.run_for(60s);
    auto& alone = *fleet.daemons.front();
    CHECK(alone.holder.revision() == 0);
    CHECK_FALSE(alone.follower->has_settled());
    CHECK(alone.log.count(logging::event_id::configuration_missing) > 0);
    fleet.set_outage(false);
    fleet.run_for(10s);
    CHECK(alone.holder.revision() == 4);
}

TEST_CASE("a daemon never returns to a lower revision", "[configuration]") {
    struct {
        const char* what;
        std::function<void(small_fleet&, daemon_under_test&)> inject;
    } const cases[] = {
        {"a peer reports a lower revision",
         [](small_fleet&, daemon_under_test& daemon) {
             daemon.follower->on_peer_revision("stale", 4);
         }},
        {"a peer reports a higher revision but serves a lower one",
         [](small_fleet& fleet, daemon_under_test& daemon) {
             fleet.peers.answers["stale"] = [] {
                 return to_json(stored_sample(4));
             };
             daemon.follower->on_peer_revision("stale", 9);
         }},
        {"a peer serves an old document with a raised revision number",
         [](small_fleet& fleet, daemon_under_test& daemon) {
             fleet.peers.answers["broken"] = [] {
                 auto stored = stored_sample(4);
                 stored.revision = 9;
                 return to_json(stored);
             };
             daemon.follower->on_peer_revision("broken", 9);
         }},
        {"a peer serves a text that is not a configuration",
         [](small_fleet& fleet, daemon_under_test& daemon) {
             fleet.peers.answers["broken"] = [] {
                 return std::string("<html>");
             };
             daemon.follower->on_peer_revision("broken", 9);
         }},
        {"a peer does not answer",
         [](small_fleet&, daemon_under_test& daemon) {
             daemon.follower->on_peer_revision("gone", 9);
         }},
        {"the platform was reset to a lower revision",
         [](small_fleet& fleet, daemon_under_test&) {
             fleet.accept(3);
             fleet.run_for(30min);
         }},
        {"the platform's object was removed",
         [](small_fleet& fleet, daemon_under_test&) {
             REQUIRE(fleet.store.remove_if(current_object, fleet.store.get(current_object)->version));
             fleet.run_for(30min);
         }},
        {"the platform's object is not a configuration",
         [](small_fleet& fleet, daemon_under_test&) {
             REQUIRE(
                 fleet.store.update_if(current_object, fleet.store.get(current_object)->version, "other"));
             fleet.run_for(30min);
         }},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        small_fleet fleet(2);
        fleet.accept(5);
        fleet.start();
        fleet.run_for(10s);
        REQUIRE(fleet.count_at(5) == 2);
        each.inject(fleet, *fleet.daemons.front());
        fleet.run_for(30s);
        CHECK(fleet.count_at(5) == 2);
    }
}

TEST_CASE("a late answer of the platform does not replace a higher revision pulled from a peer",
          "[configuration]") {
    small_fleet fleet(1);
    auto& daemon = *fleet.daemons.front();
    fleet.accept(5);
    daemon.api.set_delay(2000ms);
    fleet.peers.answers["ahead"] = [] {
        return to_json(stored_sample(6));
    };
    fleet.start();
    fleet.timer.run_for(100ms);
    daemon.follower->on_peer_revision("ahead", 6);
    fleet.timer.run_for(1s);
    REQUIRE(daemon.holder.revision() == 6);
    fleet.timer.run_for(10s);
    CHECK(daemon.holder.revision() == 6);
    CHECK(daemon.log.count(logging::event_id::configuration_adopted) == 1);
}

TEST_CASE("a daemon that can't pull from any peer reads the platform", "[configuration]") {
    struct {
        const char* what;
        bool peers_report;
        std::chrono::milliseconds within;
    } const cases[] = {{"peers report a higher revision", true, 20s}, {"peers report nothing", false, 20min}};
    for (const auto& each : cases) {
        INFO(each.what);
        small_fleet fleet(9);
        fleet.accept(1);
        fleet.start();
        fleet.run_for(10s);
        REQUIRE(fleet.count_at(1) == 9);
        fleet.peers.answers.clear();
        fleet.accept(2);
        if (each.peers_report) {
            fleet.run_for(each.within);
        } else {
            fleet.timer.run_for(each.within);
        }
        CHECK(fleet.count_at(2) == 9);
    }
}

TEST_CASE("only one pull runs at a time, however many peers report a higher revision", "[configuration]") {
    small_fleet fleet(1);
    auto& daemon = *fleet.daemons.front();
    fleet.set_outage(true);
    fleet.start();
    fleet.timer.run_for(1s);
    for (int peer = 0; peer < 100; ++peer) {
        daemon.follower->on_peer_revision("gone " + std::to_string(peer), 9);
    }
    fleet.timer.run_for(2s);
    CHECK(fleet.peers.pulls == 1);
}

TEST_CASE("a stopped follower makes no further call", "[configuration]") {
    small_fleet fleet(1);
    fleet.accept(1);
    fleet.start();
    fleet.run_for(10s);
    fleet.daemons.front()->follower->stop();
    fleet.run_for(60s);
    const auto before = fleet.store_calls();
    fleet.run_for(60s);
    CHECK(fleet.store_calls() == before);
}

TEST_CASE("number of calls to the platform by fleet size", "[.measure]") {
    struct {
        std::size_t daemons;
        std::size_t centres;
    } const sizes[] = {{24, 3}, {96, 4}, {920, 8}};
    for (const auto& size : sizes) {
        small_fleet fleet(size.daemons, size.centres);
        fleet.accept(1);
        fleet.start();
        const auto start = fleet.spread(1);
        const auto at_start = fleet.store_calls();
        fleet.run_for(1200s);
        const auto idle = fleet.store_calls() - at_start;
        const auto before_change = fleet.store_calls();
        const auto pulls = fleet.peers.pulls;
        fleet.accept(2);
        const auto change = fleet.spread(2);
        const auto for_change = fleet.store_calls() - before_change;
        const auto pulled = fleet.peers.pulls - pulls;
        fleet.set_outage(true);
        const auto before_outage = fleet.store_calls();
        fleet.run_for(60s);
        const auto in_outage = fleet.store_calls() - before_outage;
        WARN("daemons " << size.daemons << " centres " << size.centres << " start_ms " << start.count()
                        << " start_calls " << at_start << " idle_calls_1200s " << idle << " change_ms "
                        << change.count() << " change_calls " << for_change << " pulls " << pulled
                        << " outage_calls_60s " << in_outage);
    }
}

TEST_CASE("after a failed watch, whose change history the platform may have dropped, comes a list",
          "[configuration]") {
    const follower_rule rule;
    store::random_engine random(1);
    const core::steady_time start{1h};
    follower_state state;
    state.is_watcher = true;
    record_list(state, 530, 7, rule, random, start);
    REQUIRE(next_store_call(state, 7, rule, start) == store_call::watch);
    record_store_failure(state, rule, random, start);
    const auto later = start + rule.store_backoff.longest;
    CHECK(next_store_call(state, 7, rule, later) == store_call::list);
    record_list(state, 560, 7, rule, random, later);
    CHECK(next_store_call(state, 7, rule, later) == store_call::watch);
}

TEST_CASE("a change made just after watches stop being answered is in force within the bound",
          "[configuration]") {
    for (const std::chrono::milliseconds bound : {2000ms, 2500ms}) {
        small_fleet fleet(6, 3, follower_rule_within(bound));
        std::uint64_t revision = 1;
        fleet.accept(revision);
        fleet.start();
        for (auto since_start = 10s + 0ms; since_start < 10s + 2 * bound; since_start += 300ms) {
            INFO("bound " << bound.count() << " ms, change at " << since_start.count() << " ms");
            fleet.run_for(since_start);
            REQUIRE(fleet.count_at(revision) == fleet.daemons.size());
            fleet.set_outage(true, true);
            fleet.run_for(small_fleet::probe_round);
            fleet.accept(++revision);
            fleet.set_outage(false);
            CHECK(fleet.spread(revision) <= bound);
        }
    }
}

TEST_CASE("a configuration whose adoption throws is the last that a daemon follows", "[configuration]") {
    small_fleet fleet(1);
    bool fails = true;
    int failures = 0;
    fleet.daemons[0]->holder.on_change([&fails](std::uint64_t, const document&) {
        if (std::exchange(fails, false)) {
            throw std::runtime_error("no memory left");
        }
    });
    const auto run_for = [&](std::chrono::milliseconds span) {
        for (auto passed = 0ms; passed < span; passed += 100ms) {
            failures += core::contain([&] { fleet.timer.run_for(100ms); }, [](const std::string&) {}) ? 0 : 1;
        }
    };
    fleet.accept(1);
    fleet.start();
    run_for(10s);
    fleet.accept(2);
    run_for(60s);
    CHECK(failures == 1);
    CHECK(fleet.count_at(2) == 1);
}

TEST_CASE("a tick that throws is the last of a follower", "[configuration]") {
    small_fleet fleet(1);
    auto& daemon = *fleet.daemons[0];
    int failures = 0;
    const auto run_for = [&](std::chrono::milliseconds span) {
        for (auto passed = 0ms; passed < span; passed += 100ms) {
            failures += core::contain([&] { fleet.timer.run_for(100ms); }, [](const std::string&) {}) ? 0 : 1;
        }
    };
    daemon.log.fail_once = logging::event_id::configuration_missing;
    fleet.start();
    run_for(1s);
    REQUIRE(failures == 1);
    fleet.accept(1);
    run_for(60s);
    CHECK(fleet.count_at(1) == 1);
}

TEST_CASE("a handler of a configuration that throws keeps it from the next handler", "[configuration]") {
    small_fleet fleet(1);
    auto& daemon = *fleet.daemons[0];
    std::vector<std::uint64_t> seen;
    daemon.log.fail_once = logging::event_id::configuration_adopted;
    daemon.holder.on_change(
        [](std::uint64_t, const document&) { throw std::runtime_error("no memory left"); });
    daemon.holder.on_change([&seen](std::uint64_t revision, const document&) { seen.push_back(revision); });
    CHECK_THROWS(daemon.holder.adopt(stored_sample(1)));
    CHECK_THROWS(daemon.holder.adopt(stored_sample(2)));
    CHECK(seen == std::vector<std::uint64_t>{1, 2});
}
