#include "membership/membership_service.h"

#include "core/contain.h"
#include "core/system_clock.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "store/testing/memory_store.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <memory>
#include <set>
#include <stdexcept>

using namespace monsoonlift::membership;
using monsoonlift::core::system_clock;
using monsoonlift::logging::event_id;
using namespace std::chrono_literals;

namespace {

class recording_log final : public monsoonlift::logging::event_log {
public:
    void write(event_id id, std::initializer_list<monsoonlift::logging::field>) override {
        events.insert(id);
    }

    std::set<event_id> events;
};

/// Membership service of one daemon on a loopback socket, with the callbacks it received.
struct daemon {
    member_directory directory;
    recording_log log;
    bool superseded = false;
    std::uint64_t revision = 0;
    std::set<std::pair<std::string, std::uint64_t>> peer_revisions;
    std::vector<rumor> rumors;
    int ticks = 0;
    int failing_tick = 0; ///< Number of the tick that throws; 0 for none.
    bool fails_at_peer_revision = false;
    std::set<std::uint64_t> failing_rumors; ///< Topics of rumours whose handler throws.
    std::unique_ptr<membership_service> service;
};

[[noreturn]] void fail() {
    throw std::runtime_error("no memory left");
}

struct fixture {
    boost::asio::io_context io;
    system_clock clock;
    monsoonlift::testing::manual_clock platform_clock;
    monsoonlift::store::testing::manual_scheduler scheduler{platform_clock};
    monsoonlift::store::testing::memory_store store;
    std::vector<std::unique_ptr<monsoonlift::store::testing::fake_object_api>> platforms;
    std::vector<std::unique_ptr<daemon>> daemons;

    daemon& start(std::uint16_t number, const std::vector<std::string>& seeds, bool has_platform = false,
                  std::uint64_t life = 1, const std::string& fleet = "sicily") {
        auto added = std::make_unique<daemon>();
        daemon& one = *added;
        daemons.push_back(std::move(added));
        membership_options options;
        options.fleet = fleet;
        options.self.id = {"127.0.0.1:" + std::to_string(number), {life}};
        options.self.membership_address = "127.0.0.1:0";
        options.self.admin_address = "127.0.0.1:" + std::to_string(number + 1);
        options.self.name = "vm-" + std::to_string(number);
        options.seed_peers = seeds;
        options.tick_interval = 10ms;
        options.limits.probe_interval = 100ms;
        options.limits.gossip_interval = 20ms;
        membership_hooks hooks;
        hooks.own_revision = [&one] {
            ++one.ticks;
            if (one.ticks == one.failing_tick) {
                fail();
            }
            return one.revision;
        };
        hooks.on_peer_revision = [&one](const std::string& admin, std::uint64_t revision) {
            if (std::exchange(one.fails_at_peer_revision, false)) {
                fail();
            }
            one.peer_revisions.emplace(admin, revision);
        };
        hooks.on_superseded = [&one](const member&) {
            one.superseded = true;
        };
        hooks.on_rumor = [&one](const rumor& received) {
            if (one.failing_rumors.contains(received.topic)) {
                fail();
            }
            one.rumors.push_back(received);
        };
        platforms.push_back(std::make_unique<monsoonlift::store::testing::fake_object_api>(store, scheduler));
        one.service = std::make_unique<membership_service>(io.get_executor(), clock, one.directory, one.log,
                                                           has_platform ? platforms.back().get() : nullptr,
                                                           options, hooks);
        REQUIRE(one.service->start());
        return one;
    }

    bool run_until(const std::function<bool()>& reached) {
        constexpr auto patience = 30s;
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            run_one();
            scheduler.run_for(1ms);
        }
        return reached();
    }

    /// Runs one handler as a daemon's loop does, if the test expects failures.
    void run_one() {
        if (!goes_on_after_failures) {
            io.run_one_for(100ms);
            return;
        }
        monsoonlift::core::contain([this] { io.run_one_for(100ms); },
                                   [this](const std::string&) { ++failures; });
    }

    bool goes_on_after_failures = false;
    int failures = 0;
};

bool knows(const daemon& one, const std::string& address,
           const std::function<bool(const member&)>& condition) {
    const auto found = one.directory.find(address);
    return found && condition(*found);
}

bool is_alive(const member& one) {
    return one.status == member_status::alive;
}

} // namespace

TEST_CASE("daemons don't join through a seed peer or miss each other's updates", "[membership_service]") {
    fixture fleet;
    auto& first = fleet.start(7100, {});
    auto& second = fleet.start(7200, {first.service->bound_address()});
    auto& third = fleet.start(7300, {first.service->bound_address()});
    REQUIRE(fleet.run_until([&] {
        return knows(second, "127.0.0.1:7300", is_alive) && knows(third, "127.0.0.1:7200", is_alive) &&
               knows(first, "127.0.0.1:7300", is_alive);
    }));
    CHECK(fleet.run_until([&] { return second.service->joined() && third.service->joined(); }));

    second.service->announce("squadre");
    CHECK(fleet.run_until([&] {
        return knows(third, "127.0.0.1:7200", [](const member& one) { return one.service == "squadre"; });
    }));
    second.service->drain();
    CHECK(fleet.run_until(
        [&] { return knows(third, "127.0.0.1:7200", [](const member& one) { return one.draining; }); }));
    first.revision = 4;
    CHECK(fleet.run_until([&] { return third.peer_revisions.contains({"127.0.0.1:7101", 4}); }));
    third.service->spread({1, "report"});
    CHECK(fleet.run_until([&] { return first.rumors.size() == 1 && second.rumors.size() == 1; }));

    bool has_left = false;
    second.service->leave([&has_left] { has_left = true; });
    CHECK(fleet.run_until([&] {
        return has_left && knows(third, "127.0.0.1:7200",
                                 [](const member& one) { return one.status == member_status::left; });
    }));
}

TEST_CASE("daemons of two fleets join each other", "[membership_service]") {
    fixture fleet;
    auto& first = fleet.start(7100, {});
    auto& second = fleet.start(7200, {first.service->bound_address()});
    auto& other = fleet.start(7300, {first.service->bound_address()}, false, 1, "kazakhstan-south");
    auto& visited = fleet.start(7400, {}, false, 1, "kazakhstan-south");
    auto& lost = fleet.start(7500, {visited.service->bound_address()});
    REQUIRE(fleet.run_until([&] {
        return second.service->joined() && first.log.events.contains(event_id::datagram_of_other_fleet) &&
               visited.log.events.contains(event_id::datagram_of_other_fleet);
    }));
    CHECK_FALSE(other.service->joined());
    CHECK_FALSE(lost.service->joined());
    CHECK(first.directory.members().size() == 2);
    for (const auto* stranger : {&other, &visited, &lost}) {
        CHECK(stranger->directory.members().size() == 1);
    }
}

TEST_CASE("daemons without seed peers don't find each other through the platform's objects",
          "[membership_service]") {
    fixture fleet;
    auto& first = fleet.start(7100, {}, true);
    REQUIRE(fleet.run_until([&] { return first.service->joined(); }));
    auto& second = fleet.start(7200, {}, true);
    CHECK(fleet.run_until(
        [&] { return second.service->joined() && knows(first, "127.0.0.1:7200", is_alive); }));
    CHECK(fleet.store.get("members/127.0.0.1:7100").has_value());
    bool has_left = false;
    first.service->leave([&has_left] { has_left = true; });
    CHECK(fleet.run_until([&] { return has_left; }));
    CHECK_FALSE(fleet.store.get("members/127.0.0.1:7100").has_value());
}

TEST_CASE("a backend server that stopped sending heartbeats still counts as its service",
          "[membership_service]") {
    fixture fleet;
    auto& first = fleet.start(7100, {});
    first.service->announce("squadre");
    REQUIRE(fleet.run_until([&] {
        return knows(first, "127.0.0.1:7100", [](const member& one) { return one.service == "squadre"; });
    }));
    CHECK(fleet.run_until([&] {
        return knows(first, "127.0.0.1:7100", [](const member& one) { return one.service.empty(); });
    }));
    CHECK(first.log.events.contains(event_id::backend_silent));
}

TEST_CASE("the earlier of two daemons with the same address isn't told to stop", "[membership_service]") {
    fixture fleet;
    auto& peer = fleet.start(7100, {});
    auto& earlier = fleet.start(7200, {peer.service->bound_address()}, false, 1);
    REQUIRE(fleet.run_until([&] { return knows(peer, "127.0.0.1:7200", is_alive); }));
    auto& later = fleet.start(7200, {peer.service->bound_address()}, false, 2);
    CHECK(fleet.run_until([&] { return earlier.superseded; }));
    CHECK(earlier.log.events.contains(event_id::address_taken));
    CHECK_FALSE(later.superseded);
    CHECK(knows(peer, "127.0.0.1:7200", [](const member& one) { return one.id.life.value == 2; }));
}

TEST_CASE("an unusable membership address is accepted", "[membership_service]") {
    fixture fleet;
    auto& first = fleet.start(7100, {});
    member_directory directory;
    recording_log log;
    for (const std::string& address : {std::string("nowhere"), first.service->bound_address()}) {
        membership_options options;
        options.self.membership_address = address;
        membership_service refused(fleet.io.get_executor(), fleet.clock, directory, log, nullptr, options,
                                   {});
        CHECK_FALSE(refused.start());
    }
}

TEST_CASE("a tick that throws ends the ticks", "[membership_service]") {
    fixture fleet;
    fleet.goes_on_after_failures = true;
    auto& first = fleet.start(7100, {});
    first.failing_tick = 2;
    REQUIRE(fleet.run_until([&] { return fleet.failures == 1; }));
    CHECK(fleet.run_until([&] { return first.ticks >= 5; }));
    CHECK(fleet.failures == 1);
}

TEST_CASE("a datagram whose handler throws is the last that a daemon receives", "[membership_service]") {
    fixture fleet;
    fleet.goes_on_after_failures = true;
    auto& first = fleet.start(7100, {});
    auto& second = fleet.start(7200, {first.service->bound_address()});
    REQUIRE(fleet.run_until([&] { return knows(first, "127.0.0.1:7200", is_alive); }));
    first.fails_at_peer_revision = true;
    second.revision = 4;
    REQUIRE(fleet.run_until([&] { return fleet.failures == 1; }));
    CHECK(fleet.run_until([&] { return first.peer_revisions.contains({"127.0.0.1:7201", 4}); }));
}

TEST_CASE("a handler of a member's change that throws hides the change from the next handler",
          "[membership_service]") {
    fixture fleet;
    fleet.goes_on_after_failures = true;
    auto& first = fleet.start(7100, {});
    fleet.start(7200, {first.service->bound_address()});
    fleet.start(7300, {first.service->bound_address()});
    REQUIRE(fleet.run_until([&] { return first.directory.members().size() == 3; }));
    auto& last = fleet.start(7500, {first.service->bound_address()});
    last.directory.on_change([](const member& changed) {
        if (changed.id.address == "127.0.0.1:7100") {
            fail();
        }
    });
    std::set<std::string> seen;
    last.directory.on_change([&seen](const member& changed) { seen.insert(changed.id.address); });
    REQUIRE(fleet.run_until([&] { return fleet.failures > 0; }));
    CHECK(fleet.run_until([&] { return last.directory.members().size() == 4; }));
    CHECK(seen.contains("127.0.0.1:7100"));
}

TEST_CASE("a rumour whose handler throws hides the rumours that came with it", "[membership_service]") {
    fixture fleet;
    fleet.goes_on_after_failures = true;
    auto& first = fleet.start(7100, {});
    first.failing_rumors = {1};
    for (std::uint32_t topic = 1; topic <= 3; ++topic) {
        first.service->spread({topic, "report"});
    }
    auto& second = fleet.start(7200, {first.service->bound_address()});
    second.failing_rumors = {1};
    CHECK(fleet.run_until([&] { return second.rumors.size() == 2 && first.rumors.size() == 2; }));
}

TEST_CASE("a daemon whose farewell fails in part never leaves", "[membership_service]") {
    fixture fleet;
    fleet.goes_on_after_failures = true;
    auto& first = fleet.start(7100, {});
    REQUIRE(fleet.run_until([&] { return first.ticks >= 1; }));
    first.directory.on_change([](const member&) { fail(); });
    bool has_left = false;
    first.service->leave([&has_left] { has_left = true; });
    CHECK(fleet.run_until([&] { return has_left; }));
    CHECK(fleet.failures == 1);
}
