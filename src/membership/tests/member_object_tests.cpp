#include "membership/tests/publisher_fixture.h"

#include "membership/membership_service.h"
#include "membership/message_codec.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "store/testing/memory_store.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <map>
#include <memory>

using namespace monsoonlift;
using namespace monsoonlift::membership;
using namespace monsoonlift::membership::internal;
using namespace monsoonlift::membership::tests;
using store::testing::write_outcome;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds patience = member_object_cleaner::patience;

} // namespace

TEST_CASE("objects of daemons gone for long stay, or more than one is removed per listing",
          "[member_object]") {
    publisher_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::alive);
    fleet.add("10.0.0.3:7000", 3, member_status::suspect);
    fleet.add("10.0.0.4:7000", 4, member_status::dead);
    fleet.add("10.0.0.5:7000", 5, member_status::left);
    fleet.list();
    CHECK(fleet.has("10.0.0.4:7000"));
    CHECK(fleet.has("10.0.0.5:7000"));
    fleet.clock.advance(patience);
    const auto calls_before = fleet.api.calls();
    fleet.list();
    CHECK(fleet.api.calls() == calls_before + 2);
    CHECK(fleet.has("10.0.0.4:7000") != fleet.has("10.0.0.5:7000"));
    fleet.list();
    CHECK_FALSE(fleet.has("10.0.0.4:7000"));
    CHECK_FALSE(fleet.has("10.0.0.5:7000"));
    fleet.list();
    CHECK(fleet.has("10.0.0.1:7000"));
    CHECK(fleet.has("10.0.0.2:7000"));
    CHECK(fleet.has("10.0.0.3:7000"));
}

TEST_CASE("a pause of this daemon counts as time that other daemons have been gone", "[member_object]") {
    publisher_fixture fleet;
    fleet.is_ticking = true;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    static_cast<void>(fleet.store.update_if("members/10.0.0.3:7000", 0, value_of("10.0.0.3:7000", 3)));
    fleet.list();
    fleet.clock.advance(patience);
    fleet.list();
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    CHECK(fleet.has("10.0.0.3:7000"));
    for (auto waited = 0s; waited <= patience; waited += 1s) {
        fleet.clock.advance(1s);
        fleet.publisher->note_running();
    }
    fleet.list();
    fleet.list();
    CHECK_FALSE(fleet.has("10.0.0.2:7000"));
    CHECK_FALSE(fleet.has("10.0.0.3:7000"));
}

TEST_CASE("the object of a later incarnation than the dead one is removed", "[member_object]") {
    publisher_fixture fleet;
    fleet.add("10.0.0.2:7000", 3, member_status::dead);
    fleet.known_members["10.0.0.2:7000"].life = {2};
    fleet.clock.advance(patience);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("an object rewritten between listing and removal is removed", "[member_object]") {
    publisher_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    fleet.clock.advance(patience);
    fleet.api.before_write([&](const std::string& name) {
        const auto found = fleet.store.get(name);
        REQUIRE(found);
        static_cast<void>(fleet.store.update_if(name, found->version, value_of("10.0.0.2:7000", 9)));
    });
    fleet.list();
    fleet.api.before_write({});
    CHECK(fleet.has("10.0.0.2:7000"));
    fleet.known_members["10.0.0.2:7000"] = {{9}, member_status::alive, fleet.clock.now()};
    fleet.clock.advance(patience);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("the object of a member that is alive again before the listing is removed", "[member_object]") {
    publisher_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    fleet.clock.advance(patience);
    fleet.known_members["10.0.0.2:7000"] = {{2}, member_status::alive, fleet.clock.now()};
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    fleet.known_members["10.0.0.2:7000"] = {{2}, member_status::dead, fleet.clock.now()};
    fleet.clock.advance(patience / 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("a removal with a lost, late or refused write isn't retried or removes a newer object",
          "[member_object]") {
    for (const auto outcome : {write_outcome::answer_lost, write_outcome::request_lost,
                               write_outcome::effect_late, write_outcome::refused}) {
        INFO("outcome " << static_cast<int>(outcome));
        publisher_fixture fleet;
        fleet.add("10.0.0.2:7000", 2, member_status::dead);
        fleet.clock.advance(patience);
        fleet.api.set_write_outcomes({outcome});
        fleet.list();
        fleet.list();
        CHECK_FALSE(fleet.has("10.0.0.2:7000"));
        // The address is reused: the delayed removal of the old object must not remove the new one.
        fleet.add("10.0.0.2:7000", 9, member_status::alive);
        fleet.run();
        fleet.list();
        CHECK(fleet.has("10.0.0.2:7000"));
    }
}

TEST_CASE("the object of an unknown daemon is removed too early or never", "[member_object]") {
    publisher_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    fleet.known_members.clear();
    fleet.list();
    fleet.clock.advance(patience / 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    const auto found = fleet.store.get("members/10.0.0.2:7000");
    static_cast<void>(fleet.store.update_if(found->name, found->version, found->value));
    fleet.clock.advance(patience / 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    fleet.clock.advance(patience);
    fleet.list();
    CHECK_FALSE(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("a partitioned daemon that considers most others dead removes their objects", "[member_object]") {
    publisher_fixture fleet;
    for (const std::string address : {"10.0.0.2:7000", "10.0.0.3:7000"}) {
        fleet.add(address, 2, member_status::dead);
    }
    fleet.clock.advance(patience);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    CHECK(fleet.has("10.0.0.3:7000"));
    fleet.add("10.0.0.4:7000", 4, member_status::alive);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000") != fleet.has("10.0.0.3:7000"));
}

TEST_CASE("an object that can't be parsed as a member is removed", "[member_object]") {
    publisher_fixture fleet;
    static_cast<void>(fleet.store.update_if("members/10.0.0.2:7000", 0, "nonsense"));
    fleet.list();
    fleet.clock.advance(patience * 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("a daemon doesn't rewrite its removed object, or rewrites it after leaving", "[member_object]") {
    for (const bool by_listing : {true, false}) {
        INFO("by listing " << by_listing);
        publisher_fixture fleet;
        const auto own = fleet.store.get("members/10.0.0.1:7000");
        REQUIRE(own);
        REQUIRE(fleet.store.remove_if(own->name, own->version));
        if (by_listing) {
            fleet.list();
        } else {
            fleet.publisher->check_own();
            fleet.run();
        }
        const auto again = fleet.store.get("members/10.0.0.1:7000");
        REQUIRE(again);
        CHECK(again->value == own->value);
        bool removed = false;
        fleet.publisher->remove([&removed] { removed = true; });
        fleet.run();
        CHECK(removed);
        CHECK_FALSE(fleet.has("10.0.0.1:7000"));
        fleet.list();
        fleet.publisher->check_own();
        fleet.run();
        CHECK_FALSE(fleet.has("10.0.0.1:7000"));
    }
}

// The object is as it was in an older copy of the store, or was written by a later process at this address.
TEST_CASE("after a restore of the store an older object stays, or one of a later incarnation is replaced",
          "[member_object]") {
    publisher_fixture fleet;
    const auto own = fleet.store.get("members/10.0.0.1:7000");
    REQUIRE(own);
    const auto check_with = [&](const std::string& value) {
        const auto known = fleet.store.get(own->name);
        REQUIRE(fleet.store.update_if(own->name, known->version, value));
        fleet.publisher->check_own();
        fleet.run();
        return fleet.store.get(own->name)->value;
    };
    const std::string older = R"({"membership_address":"10.0.0.1:1","incarnation":1})";
    CHECK(check_with(older) == own->value);
    CHECK(check_with("") == own->value);
    const std::string later = R"({"membership_address":"10.0.0.1:1","incarnation":18446744073709551615})";
    CHECK(check_with(later) == later);
}

TEST_CASE("a daemon reported dead doesn't check that its object still exists", "[member_object]") {
    boost::asio::io_context io;
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler scheduler(clock);
    store::testing::memory_store store;
    store::testing::fake_object_api api(store, scheduler);
    testing::silent_log log;
    member_directory directory;
    membership_options options;
    options.self.id = {"127.0.0.1:7000", {5}};
    options.self.membership_address = "127.0.0.1:0";
    options.tick_interval = 1ms;
    options.object_check_pause = 5000ms;
    membership_service service(io.get_executor(), clock, directory, log, &api, options, {});
    REQUIRE(service.start());
    const auto run_until = [&](const std::function<bool()>& reached) {
        constexpr auto longest_wait = 20s;
        const auto end = std::chrono::steady_clock::now() + longest_wait;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            io.run_one_for(20ms);
            scheduler.run_for(50ms);
        }
        return reached();
    };
    REQUIRE(run_until([&] { return service.joined(); }));
    const auto own = store.get("members/127.0.0.1:7000");
    REQUIRE(own);
    REQUIRE(store.remove_if(own->name, own->version));

    swim_message message;
    message.kind = message_kind::gossip;
    message.sender = {"127.0.0.1:7200", {1}};
    message.sender_membership_address = "127.0.0.1:1";
    member dead = options.self;
    dead.membership_address = service.bound_address();
    dead.status = member_status::dead;
    message.records = {dead};
    boost::asio::ip::udp::socket peer(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto port = service.bound_address().substr(service.bound_address().rfind(':') + 1);
    const boost::asio::ip::udp::endpoint receiver(boost::asio::ip::address_v4::loopback(),
                                                  static_cast<std::uint16_t>(std::stoul(port)));
    peer.send_to(boost::asio::buffer(encode(message)), receiver);
    CHECK(run_until([&] { return store.get("members/127.0.0.1:7000").has_value(); }));
}

TEST_CASE("an answer about the own object whose handling throws is the last", "[member_object]") {
    publisher_fixture test;
    test.goes_on_after_failures = true;
    test.publisher->stop();
    static_cast<void>(test.store.remove_if("members/10.0.0.1:7000", 1));
    test.fails_at_past = true;
    test.pasts.clear();
    test.start();
    test.run();
    CHECK(test.failures == 1);
    CHECK(test.pasts.size() == 1);
    CHECK(test.has("10.0.0.1:7000"));
    CHECK(test.record({{"left", 1, 2}}));
}

TEST_CASE("a listing whose handling throws isn't repeated", "[member_object]") {
    publisher_fixture test;
    test.goes_on_after_failures = true;
    test.add("10.0.0.2:7000", 1, member_status::alive);
    test.fails_at_peers = true;
    test.list();
    CHECK(test.failures == 1);
    CHECK(test.last_peers.size() == 1);
}

TEST_CASE("a caller that throws hides from the next that its deregistration is recorded", "[member_object]") {
    publisher_fixture test;
    test.goes_on_after_failures = true;
    int others = 0;
    test.publisher->record_deregistrations({{"left", 1, 2}},
                                           [] { throw std::runtime_error("no memory left"); });
    test.publisher->record_deregistrations({{"left", 1, 2}}, [&others] { ++others; });
    test.run();
    CHECK(others == 1);
    CHECK(test.failures == 1);
    CHECK(test.record({{"later", 3, 4}}));
}
