#include "membership/internal/member_object_keeper.h"
#include "testing/silent_log.h"

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
using store::testing::write_fate;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds patience = member_object_cleaner::patience;

std::string value_of(const std::string& membership_address, std::uint64_t life) {
    return R"({"membership_address":")" + membership_address + R"(","incarnation":)" + std::to_string(life) +
           R"(,"name":"vm","data_centre":"palermo"})";
}

/// One keeper at a fake platform on manual time.
struct keeper_fixture {
    keeper_fixture() { start(); }

    void start() {
        member self;
        self.id = {"10.0.0.1:7000", {next_life++}};
        self.membership_address = "10.0.0.1:7100";
        member_object_keeper::hooks hooks;
        hooks.on_peers = [this](const std::vector<std::string>& peers) {
            last_peers = peers;
        };
        hooks.on_past = [this](const std::vector<core::departed_life>& past) {
            pasts.push_back(past);
        };
        hooks.belief = [this](const std::string& address) -> std::optional<member_belief> {
            const auto found = beliefs.find(address);
            return found == beliefs.end() ? std::nullopt : std::optional(found->second);
        };
        keeper = std::make_shared<member_object_keeper>(io.get_executor(), api, scheduler, self, 7, clock,
                                                        log, hooks);
        keeper->publish();
        run();
    }

    /// Runs what is due; longer than a call to the platform may take.
    void run() {
        constexpr int turns = 40;
        for (int turn = 0; turn < turns; ++turn) {
            scheduler.run_for(100ms);
            if (is_ticking) {
                keeper->awake();
            }
            io.restart();
            io.poll();
        }
    }

    /// Records a farewell; whether the platform has it before `run` is over.
    bool record(const std::vector<core::departed_life>& left) {
        const auto is_kept = std::make_shared<bool>(false);
        keeper->record_farewells(left, [is_kept] { *is_kept = true; });
        run();
        return *is_kept;
    }

    /// Ends the keeper, in order or at once, and starts that of the next process.
    void restart(bool in_order) {
        if (in_order) {
            keeper->remove([] {});
            run();
        }
        keeper->stop();
        keeper.reset();
        start();
    }

    void list() {
        keeper->list();
        run();
    }

    /// An object of another daemon and what the member table says of it.
    void add(const std::string& address, std::uint64_t life, member_status status) {
        static_cast<void>(store.update_if("members/" + address, 0, value_of(address, life)));
        beliefs[address] = {{life}, status, clock.now()};
    }

    [[nodiscard]] bool has(const std::string& address) const {
        return store.get("members/" + address).has_value();
    }

    boost::asio::io_context io;
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler scheduler{clock};
    store::testing::memory_store store;
    store::testing::fake_object_api api{store, scheduler};
    testing::silent_log log;
    std::map<std::string, member_belief> beliefs;
    std::vector<std::string> last_peers;
    std::vector<std::vector<core::departed_life>> pasts; ///< What each process was told of its past.
    std::uint64_t next_life = 50;
    std::shared_ptr<member_object_keeper> keeper;
    bool is_ticking = false; ///< The owner tells that it runs.
};

} // namespace

TEST_CASE("objects of daemons that are gone for long are removed, one a listing", "[member_object]") {
    keeper_fixture fleet;
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

TEST_CASE("a pause of this daemon is no time that others have been gone", "[member_object]") {
    keeper_fixture fleet;
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
        fleet.keeper->awake();
    }
    fleet.list();
    fleet.list();
    CHECK_FALSE(fleet.has("10.0.0.2:7000"));
    CHECK_FALSE(fleet.has("10.0.0.3:7000"));
}

TEST_CASE("the object of a later life than the dead one stays", "[member_object]") {
    keeper_fixture fleet;
    fleet.add("10.0.0.2:7000", 3, member_status::dead);
    fleet.beliefs["10.0.0.2:7000"].life = {2};
    fleet.clock.advance(patience);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("an object that is written again before its removal stays", "[member_object]") {
    keeper_fixture fleet;
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
    fleet.beliefs["10.0.0.2:7000"] = {{9}, member_status::alive, fleet.clock.now()};
    fleet.clock.advance(patience);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("a member that came back before the listing keeps its object", "[member_object]") {
    keeper_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    fleet.clock.advance(patience);
    fleet.beliefs["10.0.0.2:7000"] = {{2}, member_status::alive, fleet.clock.now()};
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
    fleet.beliefs["10.0.0.2:7000"] = {{2}, member_status::dead, fleet.clock.now()};
    fleet.clock.advance(patience / 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("whatever becomes of a removal the next listings settle it", "[member_object]") {
    for (const auto fate :
         {write_fate::answer_lost, write_fate::request_lost, write_fate::effect_late, write_fate::refused}) {
        INFO("fate " << static_cast<int>(fate));
        keeper_fixture fleet;
        fleet.add("10.0.0.2:7000", 2, member_status::dead);
        fleet.clock.advance(patience);
        fleet.api.set_write_fates({fate});
        fleet.list();
        fleet.list();
        CHECK_FALSE(fleet.has("10.0.0.2:7000"));
        // The address is used again: the late removal of the old object must not touch the new one.
        fleet.add("10.0.0.2:7000", 9, member_status::alive);
        fleet.run();
        fleet.list();
        CHECK(fleet.has("10.0.0.2:7000"));
    }
}

TEST_CASE("an object of nobody known is removed once it has been seen for long", "[member_object]") {
    keeper_fixture fleet;
    fleet.add("10.0.0.2:7000", 2, member_status::dead);
    fleet.beliefs.clear();
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

TEST_CASE("a daemon that takes most others for dead removes nothing", "[member_object]") {
    keeper_fixture fleet;
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

TEST_CASE("an object that can't be read as a member's stays", "[member_object]") {
    keeper_fixture fleet;
    static_cast<void>(fleet.store.update_if("members/10.0.0.2:7000", 0, "nonsense"));
    fleet.list();
    fleet.clock.advance(patience * 2);
    fleet.list();
    CHECK(fleet.has("10.0.0.2:7000"));
}

TEST_CASE("a daemon writes its object again when it finds it gone", "[member_object]") {
    for (const bool by_listing : {true, false}) {
        INFO("by listing " << by_listing);
        keeper_fixture fleet;
        const auto own = fleet.store.get("members/10.0.0.1:7000");
        REQUIRE(own);
        REQUIRE(fleet.store.remove_if(own->name, own->version));
        if (by_listing) {
            fleet.list();
        } else {
            fleet.keeper->check_own();
            fleet.run();
        }
        const auto again = fleet.store.get("members/10.0.0.1:7000");
        REQUIRE(again);
        CHECK(again->value == own->value);
        bool removed = false;
        fleet.keeper->remove([&removed] { removed = true; });
        fleet.run();
        CHECK(removed);
        CHECK_FALSE(fleet.has("10.0.0.1:7000"));
        fleet.list();
        fleet.keeper->check_own();
        fleet.run();
        CHECK_FALSE(fleet.has("10.0.0.1:7000"));
    }
}

TEST_CASE("a daemon that hears of its own death looks at its object", "[member_object]") {
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
    message.news = {dead};
    boost::asio::ip::udp::socket peer(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto port = service.bound_address().substr(service.bound_address().rfind(':') + 1);
    const boost::asio::ip::udp::endpoint receiver(boost::asio::ip::address_v4::loopback(),
                                                  static_cast<std::uint16_t>(std::stoul(port)));
    peer.send_to(boost::asio::buffer(encode(message)), receiver);
    CHECK(run_until([&] { return store.get("members/127.0.0.1:7000").has_value(); }));
}

TEST_CASE("a recorded farewell is known to the next process, however this one ends", "[member_object]") {
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

TEST_CASE("a farewell is told as kept only once the platform holds it", "[member_object]") {
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

TEST_CASE("the later of two farewells stays", "[member_object]") {
    const std::vector<core::departed_life> first{{"i-1", 100, 5000}};
    const std::vector<core::departed_life> second{{"i-1", 100, 5000}, {"i-2", 200, 9000}};
    keeper_fixture fleet;
    fleet.keeper->record_farewells(first, [] {});
    CHECK(fleet.record(second));
    fleet.restart(false);
    CHECK(fleet.pasts.back() == second);
}

TEST_CASE("a farewell that a later life has overtaken doesn't keep the object on leaving",
          "[member_object]") {
    keeper_fixture fleet;
    CHECK(fleet.record({{"i-1", 100, 5000}}));
    fleet.keeper->forget_farewells();
    fleet.keeper->remove([] {});
    fleet.run();
    CHECK_FALSE(fleet.has("10.0.0.1:7000"));
}

TEST_CASE("the past is told when the platform is there again, and soon", "[member_object]") {
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

TEST_CASE("the object of a daemon whose farewell is malformed still names a peer", "[member_object]") {
    keeper_fixture fleet;
    auto value = value_of("10.0.0.2:7000", 2);
    value.insert(value.size() - 1, R"(,"backends_left":[7,{"id":7,"started_ms":"x"}])");
    static_cast<void>(fleet.store.update_if("members/10.0.0.2:7000", 0, value));
    fleet.list();
    CHECK(fleet.last_peers == std::vector<std::string>{"10.0.0.2:7000"});
}
