#include "execution/home_keeper.h"
#include "testing/silent_log.h"

#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "store/testing/memory_store.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace monsoonlift::execution;
using monsoonlift::core::endpoint_id;
using monsoonlift::store::testing::fake_object_api;
using monsoonlift::store::testing::manual_scheduler;
using monsoonlift::store::testing::memory_store;
using monsoonlift::store::testing::write_outcome;
using monsoonlift::testing::manual_clock;
using namespace std::chrono_literals;

namespace {

/// Gates of one service with a shared store.
struct fleet {
    struct gate {
        endpoint_id self;
        std::unique_ptr<fake_object_api> platform;
        std::unique_ptr<execution_ledger> ledger;
        std::unique_ptr<home_keeper> keeper;
        bool drained = false;
    };

    manual_clock clock;
    manual_scheduler scheduler{clock};
    memory_store store;
    monsoonlift::testing::silent_log log;
    std::vector<std::unique_ptr<gate>> gates;
    std::vector<endpoint_id> present; ///< Gates that accept new requests.

    gate& add(const endpoint_id& self) {
        auto added = std::make_unique<gate>();
        added->self = self;
        added->platform = std::make_unique<fake_object_api>(store, scheduler);
        added->ledger = std::make_unique<execution_ledger>(clock, self, execution_limits{});
        const auto others = [this, self](const std::string&) {
            std::vector<endpoint_id> list = present;
            std::erase(list, self);
            return list;
        };
        added->keeper = std::make_unique<home_keeper>(scheduler, *added->ledger, *added->platform, log,
                                                      others, home_keeper_options{});
        present.push_back(self);
        added->keeper->serve("squadre");
        gates.push_back(std::move(added));
        return *gates.back();
    }

    static std::size_t held(const gate& one) { return one.ledger->counts().homes_held; }

    /// Counts the gates that would run the key now.
    std::size_t count_homes(const std::string& key) {
        std::size_t count = 0;
        for (const auto& one : gates) {
            begin_request request{*parse_key(key), {1}, {{1}, ++m_calls, 0}, clock.now() + 5s};
            if (one->ledger->begin(request).action == begin_action::run) {
                one->ledger->abandon(key);
                ++count;
            }
        }
        return count;
    }

    bool run_until(const std::function<bool()>& reached) { return scheduler.run_until(reached, 120s); }

private:
    std::uint64_t m_calls = 0;
};

const endpoint_id first{"10.0.0.1:7000", {10}};
const endpoint_id second{"10.0.0.2:7000", {11}};

} // namespace

TEST_CASE("two gates of a service hold half of the slots each and every key has one home", "[home_keeper]") {
    fleet fleet;
    auto& one = fleet.add(first);
    REQUIRE(fleet.run_until([&] { return fleet.held(one) == home_slots; }));
    auto& two = fleet.add(second);
    CHECK(fleet.run_until([&] { return fleet.held(one) == 32 && fleet.held(two) == 32; }));
    for (int key = 0; key < 100; ++key) {
        CHECK(fleet.count_homes("key-" + std::to_string(key)) == 1);
    }
}

TEST_CASE("a draining gate hands its slots over even if its write is lost, late or refused",
          "[home_keeper]") {
    struct row {
        const char* name;
        std::deque<write_outcome> fates;
    };
    const std::vector<row> cases{
        {"answered", {}},
        {"answer lost", {write_outcome::answer_lost}},
        {"request lost", {write_outcome::request_lost}},
        {"effect after the write timed out", {write_outcome::effect_late}},
        {"refused", {write_outcome::refused}},
        {"settling write lost too", {write_outcome::request_lost, write_outcome::answer_lost}},
        {"settling write refused", {write_outcome::effect_late, write_outcome::refused}},
        {"effect late twice",
         {write_outcome::effect_late, write_outcome::effect_late, write_outcome::answer_lost}},
    };
    for (const row& one_case : cases) {
        INFO(one_case.name);
        fleet fleet;
        auto& one = fleet.add(first);
        REQUIRE(fleet.run_until([&] { return fleet.held(one) == home_slots; }));
        auto& two = fleet.add(second);
        REQUIRE(fleet.run_until([&] { return fleet.held(one) == 32 && fleet.held(two) == 32; }));
        one.platform->set_write_outcomes(one_case.fates);
        std::erase(fleet.present, first);
        one.keeper->drain([&one] { one.drained = true; });
        // At no time do two gates hold the same slot.
        const bool handed_over = fleet.run_until([&] {
            for (int key = 0; key < 20; ++key) {
                REQUIRE(fleet.count_homes("key-" + std::to_string(key)) <= 1);
            }
            return one.drained && fleet.held(two) == home_slots;
        });
        CHECK(handed_over);
    }
}

TEST_CASE("a restarted gate takes its slots over and refuses keys that may have run before the restart",
          "[home_keeper]") {
    fleet fleet;
    auto& one = fleet.add(first);
    REQUIRE(fleet.run_until([&] { return fleet.held(one) == home_slots; }));
    one.keeper->stop();
    fleet.present.clear();
    fleet.clock.advance(10s);
    auto& restarted = fleet.add({first.address, {20}});
    REQUIRE(fleet.run_until([&] { return fleet.held(restarted) == home_slots; }));
    const begin_request request{*parse_key("k"), {1}, {{9}, 1, 0}, fleet.clock.now() + 5s};
    CHECK(restarted.ledger->begin(request).reason == begin_reason::seen_before);
}

TEST_CASE("while the platform is unavailable no slot changes its holder and calls to it stay rare",
          "[home_keeper]") {
    fleet fleet;
    auto& one = fleet.add(first);
    auto& two = fleet.add(second);
    REQUIRE(fleet.run_until([&] { return fleet.held(one) == 32 && fleet.held(two) == 32; }));
    one.platform->set_outage(true);
    two.platform->set_outage(true, true);
    std::erase(fleet.present, second);
    const std::uint64_t calls = one.platform->calls();
    fleet.scheduler.run_for(std::chrono::hours(1));
    CHECK(fleet.held(one) == 32);
    CHECK(fleet.held(two) == 32);
    CHECK(fleet.count_homes("key") == 1);
    CHECK(one.platform->calls() - calls < 700); // one call every 7.5 to 15 s
    fleet.present.push_back(second);
    one.platform->set_outage(false);
    CHECK(fleet.run_until([&] { return fleet.held(one) == 32; }));
}

TEST_CASE("a gate reads the home table within 500 ms if an entry has a later version", "[home_keeper]") {
    fleet fleet;
    auto& one = fleet.add(first);
    auto& two = fleet.add(second);
    REQUIRE(fleet.run_until([&] { return fleet.held(one) == 32 && fleet.held(two) == 32; }));
    fleet.scheduler.run_for(1s);
    const auto stored = fleet.store.get("homes/squadre");
    REQUIRE(stored.has_value());
    auto reassigned = *read_homes(stored->value, stored->version);
    for (home_slot& slot : reassigned.slots) {
        slot.holder = second;
    }
    const auto version = fleet.store.update_if("homes/squadre", reassigned.version, write_homes(reassigned));
    REQUIRE(version.has_value());
    const begin_request request{*parse_key("k"), {1}, {{9}, 1, 0}, fleet.clock.now() + 5s};
    (void)two.ledger->begin(request, *version);
    CHECK(fleet.scheduler.run_until([&] { return two.ledger->homes().version >= *version; }, 500ms));
}

TEST_CASE("a gate that doesn't know a key's home reads the home table within 1 s, before its next poll",
          "[home_keeper]") {
    fleet fleet;
    fleet.present = {first, second};
    auto& one = fleet.add(first);
    REQUIRE(fleet.run_until([&] { return fleet.held(one) == 32; }));
    const auto stored = fleet.store.get("homes/squadre");
    REQUIRE(stored.has_value());
    auto taken = *read_homes(stored->value, stored->version);
    auto freed = taken;
    for (home_slot& slot : freed.slots) {
        slot.holder = slot.holder == second ? endpoint_id{} : slot.holder;
    }
    const auto freed_version = fleet.store.update_if("homes/squadre", taken.version, write_homes(freed));
    REQUIRE(freed_version.has_value());
    REQUIRE(fleet.run_until([&] { return one.ledger->homes().version == *freed_version; }));
    taken.version = *freed_version;
    const auto version = fleet.store.update_if("homes/squadre", taken.version, write_homes(taken));
    REQUIRE(version.has_value());
    std::uint64_t number = 0;
    begin_reason reason = begin_reason::none;
    while (reason != begin_reason::home_unknown) {
        ++number;
        const begin_request request{
            *parse_key("k" + std::to_string(number)), {1}, {{9}, number, 0}, fleet.clock.now() + 5s};
        reason = one.ledger->begin(request).reason;
    }
    CHECK(fleet.scheduler.run_until([&] { return one.ledger->homes().version >= *version; }, 1s));
}
