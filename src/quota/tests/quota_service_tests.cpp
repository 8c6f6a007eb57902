// The runtime of two daemons, with timers, a store and a network of the test's own.
#include "quota/quota_service.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"
#include "testing/recording_log.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace std::chrono_literals;
using outcome = token_decision::outcome;

namespace {

/// Connects the services of the test.
struct test_network {
    std::map<std::string, quota_service*> services;
    std::uint64_t sent = 0;
    bool is_cut = false;
};

class test_sender final : public transport::frame_sender {
public:
    test_sender(test_network& network, core::endpoint_id id) : m_network(network), m_self(std::move(id)) {}

    void send(const core::endpoint_id& to, transport::frame message) override {
        ++m_network.sent;
        const auto found = m_network.services.find(to.address);
        const auto& control = std::get<transport::control_message>(message.payload);
        REQUIRE(control.topic == transport::control_topic::quota);
        if (!m_network.is_cut && found != m_network.services.end()) {
            found->second->received({control.reply_address, m_self.life}, control.payload);
        }
    }

    [[nodiscard]] core::endpoint_id self() const override { return m_self; }

private:
    test_network& m_network;
    core::endpoint_id m_self;
};

struct test_daemon {
    std::unique_ptr<test_sender> sender;
    std::shared_ptr<quota_service> service;
};

class test_fleet {
public:
    test_fleet() {
        for (const auto* address : {"10.0.0.1:7000", "10.0.0.2:7000"}) {
            membership::member member;
            member.id = {address, {1}};
            directory.store(member);
            auto sender = std::make_unique<test_sender>(network, member.id);
            auto service = std::make_shared<quota_service>(
                quota_parts{scheduler, store, clock, *sender, directory, log, [] {
                                return true;
                            }});
            network.services[address] = service.get();
            daemons.push_back({std::move(sender), std::move(service)});
        }
    }

    void set_limits(const account_limits& limits) {
        for (const auto& each : daemons) {
            each.service->set_limits(limits);
        }
    }

    /// Makes a call and returns its decision, which a wait brings.
    token_decision call(std::size_t daemon, const std::string& account) {
        auto decided = std::make_shared<std::optional<token_decision>>();
        auto decision = daemons[daemon].service->take(
            account, clock.now() + 5s, [decided](token_decision later) { *decided = std::move(later); });
        if (decision.what != outcome::waits) {
            return decision;
        }
        REQUIRE(scheduler.run_until([&] { return decided->has_value(); }, longest_wait + 1ms));
        return **decided;
    }

    /// Returns the daemon that owns the shard of an account.
    [[nodiscard]] std::optional<std::size_t> owner_of(const std::string& account) const {
        for (std::size_t index = 0; index < daemons.size(); ++index) {
            const auto shards = daemons[index].service->status().owned_shards;
            if (std::find(shards.begin(), shards.end(), shard_of(account)) != shards.end()) {
                return index;
            }
        }
        return std::nullopt;
    }

    [[nodiscard]] const monsoonlift::testing::recording_log::line* find_line(logging::event_id id) const {
        const auto found = std::find_if(log.lines.begin(), log.lines.end(),
                                        [id](const auto& line) { return line.id == id; });
        return found == log.lines.end() ? nullptr : &*found;
    }

    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler scheduler{clock};
    store::testing::memory_store memory;
    store::testing::fake_object_api store{memory, scheduler};
    membership::member_directory directory;
    monsoonlift::testing::recording_log log;
    test_network network;
    std::vector<test_daemon> daemons;
};

} // namespace

TEST_CASE("without limits there is no store call, no message and no timer", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({});
    REQUIRE(fleet.call(0, "acme").what == outcome::granted);
    REQUIRE_FALSE(fleet.scheduler.run_until([] { return false; }, 60s));
    fleet.scheduler.run_for(60s);
    REQUIRE(fleet.store.calls() == 0);
    REQUIRE(fleet.network.sent == 0);
}

TEST_CASE("the timer ends when the last limit is removed", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(5s);
    fleet.set_limits({});
    fleet.scheduler.run_for(5s);
    const auto calls = fleet.store.calls();
    fleet.scheduler.run_for(60s);
    REQUIRE(fleet.store.calls() == calls);
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(5s);
    REQUIRE(fleet.owner_of("acme").has_value());
}

TEST_CASE("an owner is found before the first call, and only its shard's lease is held", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(3s);
    REQUIRE(fleet.owner_of("acme").has_value());
    const auto held = fleet.daemons[0].service->status().owned_shards.size() +
                      fleet.daemons[1].service->status().owned_shards.size();
    REQUIRE(held == 1);
    for (const std::size_t index : {0, 1}) {
        const auto decision = fleet.call(index, "acme");
        REQUIRE(decision.what == outcome::granted);
        REQUIRE(decision.token.account == "acme");
    }
    REQUIRE(fleet.find_line(logging::event_id::quota_lease_gained) != nullptr);
}

TEST_CASE("calls beyond the limit are refused with the time until there is a token", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {2, 0}}});
    fleet.scheduler.run_for(10s);
    std::size_t granted = 0;
    auto decision = fleet.call(0, "acme");
    for (; decision.what == outcome::granted; decision = fleet.call(granted % 2, "acme")) {
        ++granted;
        REQUIRE(granted <= 10);
    }
    REQUIRE(granted == 10);
    REQUIRE(decision.what == outcome::limited);
    REQUIRE(decision.retry_after > 0ms);
    REQUIRE(decision.retry_after <= 500ms);
    const auto* line = fleet.find_line(logging::event_id::quota_refused);
    REQUIRE(line != nullptr);
    REQUIRE(line->fields.at("account") == "acme");
}

TEST_CASE("a call that reached no server gives its token back to the next one", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {0.001, 0}}});
    fleet.scheduler.run_for(3s);
    fleet.set_limits({{"acme", {1, 0}}});
    fleet.scheduler.run_for(1500ms);
    const auto first = fleet.call(0, "acme");
    REQUIRE(first.what == outcome::granted);
    REQUIRE(fleet.call(0, "acme").what == outcome::limited);
    fleet.daemons[0].service->give_back(first.token);
    REQUIRE(fleet.call(0, "acme").what == outcome::granted);
    REQUIRE(fleet.call(0, "acme").what == outcome::limited);
}

TEST_CASE("without an answer a call is refused after its wait", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(5s);
    const auto owner = fleet.owner_of("acme");
    REQUIRE(owner);
    fleet.network.is_cut = true;
    REQUIRE(fleet.call(1 - *owner, "acme").what == outcome::no_answer);
    REQUIRE(fleet.call(*owner, "acme").what == outcome::granted);
    REQUIRE(fleet.find_line(logging::event_id::quota_unanswered) != nullptr);
}

TEST_CASE("an owner that was suspended for longer than its lease grants nothing", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(5s);
    const auto owner = fleet.owner_of("acme");
    REQUIRE(owner);
    fleet.clock.suspend(lease_lifetime);
    REQUIRE_FALSE(fleet.owner_of("acme"));
    REQUIRE(fleet.call(*owner, "acme").what == outcome::no_answer);
}

TEST_CASE("a planned stop hands the shard over without waiting for the lease to expire", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {100, 5}}});
    fleet.scheduler.run_for(5s);
    const auto owner = fleet.owner_of("acme");
    REQUIRE(owner);
    auto leaving = *fleet.directory.find(fleet.daemons[*owner].sender->self().address);
    leaving.draining = true;
    fleet.directory.store(leaving);
    fleet.daemons[*owner].service->drain();
    fleet.scheduler.run_for(1600ms);
    REQUIRE(fleet.owner_of("acme") == 1 - *owner);
    fleet.scheduler.run_for(200ms);
    for (const std::size_t index : {0, 1}) {
        REQUIRE(fleet.call(index, "acme").what == outcome::granted);
    }
}

TEST_CASE("a lease ends with an outage of the store and is gained again after it", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {10, 5}}});
    fleet.scheduler.run_for(5s);
    fleet.store.set_outage(true);
    fleet.scheduler.run_for(2s);
    REQUIRE_FALSE(fleet.owner_of("acme"));
    REQUIRE(fleet.call(0, "acme").what == outcome::no_answer);
    REQUIRE(fleet.find_line(logging::event_id::quota_lease_lost) != nullptr);
    fleet.store.set_outage(false);
    fleet.scheduler.run_for(3s);
    REQUIRE(fleet.owner_of("acme").has_value());
}

TEST_CASE("every entry learns the demand of an account over the fleet", "[quota_service]") {
    test_fleet fleet;
    fleet.set_limits({{"acme", {100, 50}}, {"idle", {10, 5}}});
    fleet.scheduler.run_for(5s);
    REQUIRE_FALSE(fleet.daemons[0].service->demands().demand_of("acme"));
    for (int round = 0; round < 100; ++round) {
        static_cast<void>(fleet.call(0, "acme"));
        static_cast<void>(fleet.call(0, "acme"));
        static_cast<void>(fleet.call(1, "acme"));
        fleet.scheduler.run_for(100ms);
    }
    for (const auto& each : fleet.daemons) {
        REQUIRE(each.service->demands().demand_of("acme").value_or(0) == Approx(30).epsilon(0.15));
        REQUIRE(each.service->demands().demands().contains("acme"));
    }
    REQUIRE_FALSE(fleet.daemons[0].service->demands().demand_of("unknown"));
}
