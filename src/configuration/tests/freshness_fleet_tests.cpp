// Tests the age of the configuration in whole fleets: all healthy, the store or links broken, VMs suspended.
#include "configuration/tests/freshness_fleet.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace monsoonlift;
using namespace monsoonlift::configuration;
using namespace monsoonlift::configuration::tests;
using namespace std::chrono_literals;

namespace {

const auto everyone = [](const fresh_daemon&) {
    return true;
};

/// A fleet of 67 daemons in 3 data centres that has run for a while.
struct running_fleet : freshness_fleet {
    running_fleet() : freshness_fleet(67) {
        start();
        run_for(5s);
        REQUIRE(serving() == daemons.size());
    }

    fresh_daemon& one_that(const std::function<bool(const fresh_daemon&)>& chosen) const {
        const auto found =
            std::find_if(daemons.begin(), daemons.end(), [&](const auto& each) { return chosen(*each); });
        REQUIRE(found != daemons.end());
        return **found;
    }
};

/// A fleet that has revision 7, which took a key away, when the store comes back from a copy with revision 5.
struct restored_fleet : running_fleet {
    restored_fleet() {
        for (const auto& each : daemons) {
            each->keeper->note_era(era);
        }
        accept(7);
        run_for(3s);
        REQUIRE(std::all_of(daemons.begin(), daemons.end(),
                            [](const auto& each) { return each->holder.revision() == 7; }));
    }

    /// Daemons that serve calls that need a key by the configuration of before.
    std::size_t wrong() const {
        return static_cast<std::size_t>(std::count_if(daemons.begin(), daemons.end(), [&](const auto& each) {
            return serves(*each) && each->holder.revision() < 7;
        }));
    }

    /// Runs for a while; returns whether a daemon served by the configuration of before meanwhile.
    bool was_wrong_within(std::chrono::milliseconds span) {
        return time_until([&] { return wrong() > 0; }, span) < span;
    }
};

} // namespace

TEST_CASE("with all healthy the age stays below half of the bound at a small cost", "[freshness]") {
    running_fleet fleet;
    const auto calls = fleet.store_calls();
    const auto messages = fleet.messages;
    fleet.run_for(60s);
    CHECK(fleet.highest_age < fleet.rule.bound / 2);
    const auto reads_per_second = static_cast<double>(fleet.store_calls() - calls) / 60;
    CHECK(reads_per_second <= 12.2);
    const auto questions = static_cast<double>(fleet.messages - messages) / 2 / 60;
    CHECK(questions <= 67.0);
}

TEST_CASE("with one in ten messages lost the age stays below half of the bound", "[freshness]") {
    running_fleet fleet;
    std::mt19937 random(3);
    fleet.can_send = [&](const fresh_daemon&, const fresh_daemon&) {
        return random() % 10 != 0;
    };
    fleet.run_for(60s);
    CHECK(fleet.highest_age < fleet.rule.bound / 2);
}

TEST_CASE("a large fleet keeps the age below half of the bound", "[freshness][scale]") {
    freshness_fleet fleet(920, 4);
    fleet.start();
    fleet.run_for(5s);
    const auto calls = fleet.store_calls();
    const auto messages = fleet.messages;
    fleet.run_for(20s);
    CHECK(fleet.highest_age < fleet.rule.bound / 2);
    CHECK(static_cast<double>(fleet.store_calls() - calls) / 20 <= 17);
    CHECK(static_cast<double>(fleet.messages - messages) / 20 <= 2 * 920);
}

// Guards against a daemon that goes on with a removed key because a proof for another revision counted.
TEST_CASE("a daemon that serves after the bound has the revision accepted before", "[freshness]") {
    running_fleet fleet;
    std::mt19937 random(5);
    for (std::uint64_t revision = 2; revision < 30; ++revision) {
        fleet.can_send = [&](const fresh_daemon&, const fresh_daemon&) {
            return random() % 3 != 0;
        };
        const auto cut = random() % fleet.daemons.size();
        fleet.set_outage(everyone, false);
        fleet.set_outage([&](const fresh_daemon& each) { return &each != fleet.daemons[cut].get(); },
                         random() % 2 == 0, random() % 2 == 0);
        fleet.accept(revision);
        const auto accepted = fleet.clock.boot_now();
        while (fleet.clock.boot_now() <= accepted + fleet.rule.bound) {
            fleet.run_for(fleet.step);
        }
        for (const auto& each : fleet.daemons) {
            CHECK((!fleet.serves(*each) || each->holder.revision() >= revision));
        }
    }
}

TEST_CASE("without the store all daemons stop at the bound and resume soon after its return", "[freshness]") {
    const bool silent = GENERATE(false, true);
    running_fleet fleet;
    fleet.set_outage(everyone, true, silent);
    fleet.run_for(2s);
    CHECK(fleet.serving() == 67);
    fleet.run_for(fleet.rule.bound - 2s + fleet.step);
    CHECK(fleet.serving() == 0);
    fleet.run_for(10s);
    CHECK(fleet.serving() == 0);
    fleet.set_outage(everyone, false);
    CHECK(fleet.time_until([&] { return fleet.serving() == 67; }, 10s) < 1200ms);
}

TEST_CASE("daemons without the store learn from the others, and serve on", "[freshness]") {
    running_fleet fleet;
    SECTION("daemons that are not watchers") {
        fleet.set_outage([&](const fresh_daemon& each) { return !fleet.is_watcher(each); }, true);
        fleet.run_for(30s);
        CHECK(fleet.highest_age < fleet.rule.bound / 2);
    }
    SECTION("the watchers of one data centre") {
        fleet.set_outage(
            [&](const fresh_daemon& each) {
                return each.data_centre == "centre-1" && fleet.is_watcher(each);
            },
            true);
        fleet.run_for(30s);
        CHECK(fleet.highest_age < fleet.rule.bound);
    }
    SECTION("all watchers, so that others read the store themselves") {
        fleet.set_outage([&](const fresh_daemon& each) { return fleet.is_watcher(each); }, true, true);
        const auto calls = fleet.store_calls();
        fleet.run_for(30s);
        CHECK(fleet.highest_age < fleet.rule.bound);
        CHECK(static_cast<double>(fleet.store_calls() - calls) / 30 < 60);
    }
    SECTION("all but one that is no watcher") {
        auto& reader = fleet.one_that([&](const fresh_daemon& each) { return !fleet.is_watcher(each); });
        fleet.set_outage([&](const fresh_daemon& each) { return &each != &reader; }, true);
        fleet.run_for(30s);
        CHECK(fleet.highest_age < fleet.rule.bound);
    }
    CHECK(fleet.serving() == 67);
}

TEST_CASE("a slow store makes proofs older, not wrong", "[freshness]") {
    running_fleet fleet;
    for (const auto& each : fleet.daemons) {
        each->api.set_delay(1000ms);
    }
    fleet.run_for(20s);
    CHECK(fleet.highest_age < fleet.rule.bound);
    CHECK(fleet.highest_age > 1400ms);
}

TEST_CASE("answers of the store that are lost for a while leave the last proof in force", "[freshness]") {
    running_fleet fleet;
    fleet.set_outage(everyone, true, true);
    fleet.run_for(1s);
    fleet.set_outage(everyone, false);
    fleet.run_for(4s);
    CHECK(fleet.highest_age < fleet.rule.bound);
    CHECK(fleet.serving() == 67);
}

TEST_CASE("a daemon cut off from all others and the store stops at the bound", "[freshness]") {
    running_fleet fleet;
    auto& cut = fleet.one_that([&](const fresh_daemon& each) { return !fleet.is_watcher(each); });
    cut.api.set_outage(true, true);
    const bool receives = GENERATE(false, true);
    fleet.can_send = [&](const fresh_daemon& from, const fresh_daemon& to) {
        return &from != &cut && (receives || &to != &cut);
    };
    fleet.accept(2);
    fleet.run_for(fleet.rule.bound + fleet.step);
    CHECK_FALSE(fleet.serves(cut));
    CHECK(fleet.serving() == 66);
    fleet.can_send = {};
    CHECK(fleet.time_until([&] { return fleet.serves(cut); }, 10s) < 1s);
    CHECK(cut.holder.revision() == 2);
}

TEST_CASE("a third of the daemons cut off from the watchers but not from the store reads it itself",
          "[freshness]") {
    running_fleet fleet;
    const auto is_cut = [](const fresh_daemon& each) {
        return each.data_centre == "centre-2";
    };
    fleet.can_send = [&](const fresh_daemon& from, const fresh_daemon& to) {
        return is_cut(from) == is_cut(to);
    };
    fleet.set_outage([&](const fresh_daemon& each) { return is_cut(each) && fleet.is_watcher(each); }, true);
    fleet.run_for(30s);
    CHECK(fleet.highest_age < fleet.rule.bound);
    CHECK(fleet.serving() == 67);
}

TEST_CASE("a suspended daemon refuses after it woke until it has a new proof", "[freshness]") {
    running_fleet fleet;
    const bool wakes_watcher = GENERATE(false, true);
    auto& frozen =
        fleet.one_that([&](const fresh_daemon& each) { return fleet.is_watcher(each) == wakes_watcher; });
    frozen.timer.pause();
    fleet.accept(2);
    fleet.run_for(10s);
    frozen.timer.resume();
    // NOTE: answers that waited during the suspension are to questions of before.
    CHECK((!fleet.serves(frozen) || frozen.holder.revision() == 2));
    CHECK(fleet.time_until([&] { return fleet.serves(frozen); }, 10s) < 1s);
    CHECK(frozen.holder.revision() == 2);
}

// Guards against the time between the check of the clock and the sending counting as proven.
TEST_CASE("a pause between the time of a question and its sending makes the proof older", "[freshness]") {
    running_fleet fleet;
    const auto asked = fleet.clock.boot_now();
    const auto proof = proof_of_answer({1, 1, 100ms}, 1, asked);
    fleet.run_for(3s);
    REQUIRE(proof);
    CHECK(proof->at == asked - 100ms);
}

TEST_CASE("a store that has a lower revision proves nothing", "[freshness]") {
    running_fleet fleet;
    fleet.accept(7);
    fleet.run_for(3s);
    REQUIRE(fleet.serving() == 67);
    fleet.accept(6);
    fleet.run_for(fleet.rule.bound + fleet.step);
    CHECK(fleet.serving() == 0);
    for (const auto& each : fleet.daemons) {
        CHECK(each->holder.revision() == 7);
    }
    fleet.accept(8);
    CHECK(fleet.time_until([&] { return fleet.serving() == 67; }, 10s) < 2s);
}

TEST_CASE("an unusable configuration in the store proves nothing and ends when it is replaced",
          "[freshness]") {
    running_fleet fleet;
    const auto version = fleet.store.get(current_object)->version;
    REQUIRE(fleet.store.update_if(current_object, version, ""));
    fleet.run_for(fleet.rule.bound + fleet.step);
    CHECK(fleet.serving() == 0);
    fleet.accept(2);
    CHECK(fleet.time_until([&] { return fleet.serving() == 67; }, 10s) < 2s);
}

TEST_CASE("daemons that all start at once have a proof soon", "[freshness]") {
    freshness_fleet fleet(67);
    CHECK(fleet.serving() == 0);
    fleet.start();
    CHECK(fleet.time_until([&] { return fleet.serving() == 67; }, 10s) < 1s);
}

TEST_CASE("a stopped keeper reads and asks no more", "[freshness]") {
    running_fleet fleet;
    for (const auto& each : fleet.daemons) {
        each->keeper->stop();
    }
    fleet.run_for(200ms);
    const auto calls = fleet.store_calls();
    const auto messages = fleet.messages;
    fleet.run_for(10s);
    CHECK(fleet.store_calls() == calls);
    CHECK(fleet.messages == messages);
}

// Guards against the end of a series of refusals that is logged more than once, or never.
TEST_CASE("the end of refusals is logged once", "[freshness]") {
    running_fleet fleet;
    auto& refusing = *fleet.daemons.front();
    fleet.set_outage(everyone, true);
    fleet.run_for(7s);
    CHECK(refusing.proofs.count_refusal(fleet.clock.boot_now()));
    fleet.set_outage(everyone, false);
    fleet.run_for(10s);
    CHECK(refusing.log.count(logging::event_id::configuration_current) == 1);
}

// Guards against a key that was taken away and works again in a daemon that starts after a restore (CONFIG).
TEST_CASE("a daemon that starts after a restore of the store serves by no earlier configuration",
          "[freshness][restore]") {
    restored_fleet fleet;
    fleet.restore(5);
    fleet.restart(0);
    CHECK_FALSE(fleet.was_wrong_within(2s));
    CHECK(fleet.daemons[0]->holder.revision() == 7);
    CHECK(fleet.serves(*fleet.daemons[0]));
}

TEST_CASE("daemons that start after a restore don't prove it to each other", "[freshness][restore]") {
    restored_fleet fleet;
    fleet.restore(5);
    for (std::size_t at = 0; at + 1 < fleet.daemons.size(); ++at) {
        fleet.restart(at);
    }
    CHECK_FALSE(fleet.was_wrong_within(3s));
    fleet.accept(8);
    CHECK(fleet.time_until([&] { return fleet.serving() == fleet.daemons.size(); }, 10s) < 2s);
}

TEST_CASE("daemons that are restarted in series after a restore pass on what one remembers",
          "[freshness][restore]") {
    restored_fleet fleet;
    fleet.restore(5);
    for (std::size_t at = 0; at + 1 < fleet.daemons.size(); ++at) {
        fleet.restart(at);
        CHECK_FALSE(fleet.was_wrong_within(60ms));
    }
    fleet.restart(fleet.daemons.size() - 1);
    CHECK_FALSE(fleet.was_wrong_within(1s));
}

TEST_CASE(
    "a daemon that is cut off while the store is restored serves by no earlier configuration afterwards",
    "[freshness][restore]") {
    running_fleet fleet;
    for (const auto& each : fleet.daemons) {
        each->keeper->note_era(1);
    }
    auto& cut_off = fleet.one_that([&](const auto& each) { return fleet.is_watcher(each); });
    fleet.can_send = [&](const auto& from, const auto& to) {
        return &from != &cut_off && &to != &cut_off;
    };
    cut_off.api.set_outage(true, true);
    fleet.run_for(500ms);
    fleet.accept(7);
    const auto accepted = fleet.clock.boot_now();
    fleet.run_for(2s);
    fleet.era = 2;
    fleet.accept(1);
    for (const auto& each : fleet.daemons) {
        each->keeper->note_era(2);
    }
    fleet.can_send = {};
    cut_off.api.set_outage(false);
    while (fleet.clock.boot_now() < accepted + 10s) {
        fleet.run_for(fleet.step);
        const bool is_late = fleet.clock.boot_now() > accepted + fleet.rule.bound;
        REQUIRE_FALSE((is_late && fleet.serves(cut_off) && cut_off.holder.revision() < 7));
    }
    CHECK(cut_off.holder.revision() == 7);
}

TEST_CASE("two restores in a row leave a daemon that follows the store its knowledge",
          "[freshness][restore]") {
    restored_fleet fleet;
    fleet.restore(5);
    fleet.run_for(2s);
    fleet.restore(5);
    fleet.restart(0);
    CHECK_FALSE(fleet.was_wrong_within(2s));
    fleet.accept(8);
    CHECK(fleet.time_until([&] { return fleet.serving() == fleet.daemons.size(); }, 10s) < 2s);
}

TEST_CASE("a fleet of which nobody remembers waits for the bound before the store counts again",
          "[freshness][restore]") {
    restored_fleet fleet;
    fleet.restore(5);
    for (std::size_t at = 0; at < fleet.daemons.size(); ++at) {
        fleet.restart(at);
    }
    CHECK(fleet.time_until([&] { return fleet.serving() > 0; }, 10s) >= fleet.rule.bound);
    CHECK(fleet.time_until([&] { return fleet.serving() == fleet.daemons.size(); }, 10s) < 2s);
}
