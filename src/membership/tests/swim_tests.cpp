#include "membership/swim.h"

#include "membership/swim_table.h"
#include "membership/tests/model_fleet.h"

#include <catch2/catch.hpp>

using monsoonlift::membership::member;
using monsoonlift::membership::member_status;
using monsoonlift::membership::supersedes;
using monsoonlift::membership::testing::model_fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t small_fleet = 12;
constexpr std::uint64_t seed = 20'250'312;

auto has_status(member_status status) {
    return [status](const member& one) {
        return one.status == status;
    };
}

bool is_draining(const member& one) {
    return one.draining;
}

} // namespace

TEST_CASE("an earlier record replaces a later one", "[swim]") {
    struct row {
        std::uint64_t life, update_number;
        member_status status;
        std::uint64_t other_life, other_update_number;
        member_status other_status;
        bool wins;
    };
    const auto cases = std::to_array<row>({
        {2, 0, member_status::alive, 1, 9, member_status::left, true},  // a later incarnation
        {1, 9, member_status::left, 2, 0, member_status::alive, false}, // an older incarnation
        {1, 1, member_status::suspect, 1, 1, member_status::alive,
         true}, // suspicion with the same `update_number`
        {1, 0, member_status::suspect, 1, 1, member_status::alive,
         false},                                                       // suspicion that is already refuted
        {1, 1, member_status::alive, 1, 0, member_status::dead, true}, // refutation of a death
        {1, 1, member_status::alive, 1, 1, member_status::dead,
         false}, // stale gossip that must not revive the member
        {1, 1, member_status::alive, 1, 1, member_status::alive, false}, // equal records
    });
    for (const row& one : cases) {
        member candidate = model_fleet::record(0);
        candidate.id.life.value = one.life;
        candidate.update_number = one.update_number;
        candidate.status = one.status;
        member known = candidate;
        known.id.life.value = one.other_life;
        known.update_number = one.other_update_number;
        known.status = one.other_status;
        CHECK(supersedes(candidate, known) == one.wins);
    }
}

TEST_CASE("a daemon that joins through one live peer misses part of the table", "[swim]") {
    model_fleet fleet(40, seed);
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        add_seeds(fleet.at(index).state, {model_fleet::membership_address(0)});
    }
    fleet.at(0).state.join.joined = true;
    const bool all_know_all = fleet.run(60s, [&] {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (fleet.at(index).state.members.size() != fleet.size() - 1) {
                return false;
            }
        }
        return true;
    });
    CHECK(all_know_all);
    CHECK(fleet.largest_datagram <= monsoonlift::membership::max_datagram_bytes);
}

TEST_CASE("a member that stopped isn't declared dead by every other member", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    fleet.at(3).running = false;
    CHECK(fleet.run(
        30s, [&] { return fleet.count_matching(3, has_status(member_status::dead)) == small_fleet - 1; }));
}

TEST_CASE("a running member is declared dead because of lost datagrams", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    fleet.loss = 0.05;
    CHECK_FALSE(fleet.run(120s, [&] {
        for (std::size_t index = 0; index < small_fleet; ++index) {
            if (fleet.count_matching(index, has_status(member_status::dead)) > 0) {
                return true;
            }
        }
        return false;
    }));
}

TEST_CASE("a member that is resumed after a pause declares others dead or stays dead itself", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    fleet.at(5).running = false;
    REQUIRE(fleet.run(
        30s, [&] { return fleet.count_matching(5, has_status(member_status::dead)) == small_fleet - 1; }));
    fleet.at(5).running = true;
    CHECK(fleet.run(
        60s, [&] { return fleet.count_matching(5, has_status(member_status::alive)) == small_fleet - 1; }));
    for (std::size_t index = 0; index < small_fleet; ++index) {
        CHECK(fleet.at(5).state.members.size() == small_fleet - 1);
        CHECK(fleet.count_matching(index, has_status(member_status::dead)) == 0);
    }
}

TEST_CASE("a restarted member doesn't replace its earlier incarnation everywhere", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    const auto old_incarnation = fleet.at(7).state.self.id.life;
    fleet.at(7).running = false;
    fleet.run(300ms);
    fleet.restart(7, 0);
    CHECK(fleet.run(20s, [&] {
        return fleet.count_matching(7, [&](const member& one) {
            return one.id.life > old_incarnation && one.status == member_status::alive;
        }) == small_fleet - 1;
    }));
}

TEST_CASE("the earlier of two incarnations with one address doesn't learn that it is superseded", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    member later = fleet.at(2).state.self;
    later.id.life.value += 1;
    merge(fleet.at(4).state, later, fleet.now());
    CHECK(fleet.run(20s, [&] { return fleet.at(2).state.superseded_by.has_value(); }));
}

TEST_CASE("a draining member isn't known to every other member within two seconds", "[swim]") {
    model_fleet fleet(64, seed);
    fleet.introduce_all();
    fleet.run(3s);
    auto& leaving = fleet.at(9).state;
    fleet.send(9, announce_self(leaving, leaving.self.service, true, member_status::alive));
    CHECK(fleet.run(2s, [&] { return fleet.count_matching(9, is_draining) == 63; }));
}

TEST_CASE("the two sides of a partition don't find each other again", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    fleet.is_partitioned = [](std::size_t from, std::size_t to) {
        return (from < 6) != (to < 6);
    };
    REQUIRE(fleet.run(120s, [&] {
        return fleet.count_matching(0, has_status(member_status::dead)) == 6 &&
               fleet.count_matching(11, has_status(member_status::dead)) == 6;
    }));
    fleet.run(600s);
    fleet.is_partitioned = nullptr;
    CHECK(fleet.run(120s, [&] {
        for (std::size_t index = 0; index < small_fleet; ++index) {
            if (fleet.count_matching(index, has_status(member_status::alive)) != small_fleet - 1) {
                return false;
            }
        }
        return true;
    }));
}

TEST_CASE("a rumor is delivered twice, or misses a member or one that joins later", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    fleet.send(0, spread(fleet.at(0).state, {7, "payload"}, fleet.now()));
    const auto count_received = [&] {
        std::size_t count = 0;
        for (std::size_t index = 0; index < small_fleet; ++index) {
            count += fleet.at(index).state.new_rumors.size();
        }
        return count;
    };
    REQUIRE(fleet.run(20s, [&] { return count_received() == small_fleet; }));
    fleet.run(20s);
    CHECK(count_received() == small_fleet);
    fleet.restart(6, 1);
    CHECK(fleet.run(20s, [&] { return fleet.at(6).state.new_rumors.size() == 1; }));
}

TEST_CASE("a dead member's record is forgotten before its time, or never", "[swim]") {
    constexpr std::size_t dead = 2;
    model_fleet fleet(3, seed);
    fleet.introduce_all();
    for (std::size_t index = 0; index < dead; ++index) {
        fleet.at(index).state.limits.dead_retention = 60s;
    }
    const auto count_records = [&] {
        const auto address = model_fleet::address(dead);
        return fleet.at(0).state.members.count(address) + fleet.at(1).state.members.count(address);
    };
    fleet.at(dead).running = false;
    REQUIRE(
        fleet.run(60s, [&] { return fleet.count_matching(dead, has_status(member_status::dead)) == dead; }));
    fleet.run(50s);
    CHECK(count_records() == 2);
    CHECK(fleet.run(30s, [&] { return count_records() == 0; }));
    fleet.run(30s);
    CHECK(count_records() == 0);
}

TEST_CASE("a rumor is kept for ever, or forgotten before its time", "[swim]") {
    model_fleet fleet(small_fleet, seed);
    fleet.introduce_all();
    for (std::size_t index = 0; index < small_fleet; ++index) {
        fleet.at(index).state.limits.rumor_retention = 60s;
    }
    const auto count_kept = [&] {
        std::size_t count = 0;
        for (std::size_t index = 0; index < small_fleet; ++index) {
            count += fleet.at(index).state.rumors.size();
        }
        return count;
    };
    fleet.send(0, spread(fleet.at(0).state, {7, "payload"}, fleet.now()));
    fleet.run(50s);
    CHECK(count_kept() == small_fleet);
    CHECK(fleet.run(60s, [&] { return count_kept() == 0; }));
    fleet.restart(6, 1);
    fleet.run(20s);
    CHECK(count_kept() == 0);
}

TEST_CASE("members of the sender's service don't receive a rumor at once", "[swim]") {
    model_fleet fleet(200, seed); // every 74th member has the same service
    fleet.introduce_all();
    fleet.send(0, spread(fleet.at(0).state, {7, "payload"}, fleet.now()));
    fleet.run(100ms);
    CHECK(fleet.at(74).state.new_rumors.size() == 1);
    CHECK(fleet.at(148).state.new_rumors.size() == 1);
}

TEST_CASE("a raised configuration revision doesn't reach every member", "[swim]") {
    model_fleet fleet(64, seed);
    fleet.introduce_all();
    std::set<std::string> informed;
    fleet.send(0, set_revision(fleet.at(0).state, 5));
    const bool everywhere = fleet.run(10s, [&] {
        // Members adopt a revision as soon as a message shows it, as the configuration module does.
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            auto& state = fleet.at(index).state;
            if (state.revision == 0 && state.highest_peer_revision == 5) {
                fleet.send(index, set_revision(state, 5));
            }
            if (state.revision == 5) {
                informed.insert(state.self.name);
            }
        }
        return informed.size() == fleet.size();
    });
    CHECK(everywhere);
}

TEST_CASE("a listed peer that the table lacks isn't asked for its table", "[swim]") {
    using namespace monsoonlift::membership;
    const monsoonlift::core::steady_time now{1h};
    swim_state state = make_swim(model_fleet::record(0), {}, {}, seed, now);
    merge(state, model_fleet::record(1), now);
    const std::string own = model_fleet::record(0).membership_address;
    const std::string known = model_fleet::record(1).membership_address;
    const std::string stranger = model_fleet::record(2).membership_address;
    const auto sent = contact_unknown(state, {own, known, stranger});
    REQUIRE(sent.size() == 1);
    CHECK(sent.front().address == stranger);
    CHECK(sent.front().message.kind == message_kind::table_request);
    CHECK(sent.front().message.records.front().id == model_fleet::record(0).id);
}

TEST_CASE("backend servers that start with their whole fleet aren't soon known to every member", "[swim]") {
    constexpr std::size_t size = 89;
    model_fleet fleet(size, 5);
    fleet.introduce_all();
    for (std::size_t index = 0; index < size; ++index) {
        // NOTE: the allowance of a daemon that has just exchanged the tables of a fleet of this size.
        fleet.at(index).state.gossip_allowance = -20'000;
    }
    for (std::size_t index = 0; index < size; ++index) {
        auto& state = fleet.at(index).state;
        fleet.send(index, announce_self(state, "priorita", false, member_status::alive));
    }
    const auto count_pairs = [&] {
        std::size_t pairs = 0;
        for (std::size_t index = 0; index < size; ++index) {
            pairs +=
                fleet.count_matching(index, [](const member& known) { return known.service == "priorita"; });
        }
        return pairs;
    };
    constexpr std::size_t all = size * (size - 1);
    const bool all_know = fleet.run(2s, [&] { return count_pairs() == all; });
    INFO(count_pairs() << " of " << all << " pairs");
    CHECK(all_know);
}
