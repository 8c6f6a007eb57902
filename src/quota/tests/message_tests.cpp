#include "quota/message_codec.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace std::chrono_literals;

TEST_CASE("messages survive encoding", "[quota_message]") {
    const ask_message request{2, 77, {{"acme", 1, 2, 3}, {"zenith", 0, 0, 9}}, {{"acme", 76, 4}}};
    const auto read_request = decode(encode(request));
    REQUIRE(read_request);
    const auto& asked = std::get<ask_message>(*read_request);
    REQUIRE(asked.shard == 2);
    REQUIRE(asked.sequence == 77);
    REQUIRE(asked.asks.size() == 2);
    REQUIRE(asked.asks[0].account == "acme");
    REQUIRE(asked.asks[0].needed == 1);
    REQUIRE(asked.asks[0].ahead == 2);
    REQUIRE(asked.asks[0].arrived == 3);
    REQUIRE(asked.returned.front().sequence == 76);
    REQUIRE(asked.returned.front().tokens == 4);

    grant_message reply;
    reply.shard = 3;
    reply.sequence = 77;
    reply.grants.push_back({"acme", 5, true, 40ms, 12.5});
    reply.demands.push_back({"zenith", 0.25});
    reply.holder = {"10.0.0.3:7000", {9}};
    const auto read_reply = decode(encode(reply));
    REQUIRE(read_reply);
    const auto& granted = std::get<grant_message>(*read_reply);
    REQUIRE_FALSE(granted.holds);
    REQUIRE(granted.holder == reply.holder);
    REQUIRE(granted.grants.front().tokens == 5);
    REQUIRE(granted.grants.front().refused);
    REQUIRE(granted.grants.front().retry_after == 40ms);
    REQUIRE(granted.grants.front().demand == 12.5);
    REQUIRE(granted.demands.front().demand == 0.25);
}

TEST_CASE("malformed payloads and unknown shards are refused", "[quota_message]") {
    REQUIRE_FALSE(decode(""));
    REQUIRE_FALSE(decode("\xff\xff\xff"));
    REQUIRE_FALSE(decode(encode(ask_message{shard_count, 1, {}, {}})));
}

TEST_CASE("the candidates of a shard are live members that don't drain, the same on every daemon",
          "[quota_message]") {
    std::vector<membership::member> members(6);
    for (std::size_t index = 0; index < members.size(); ++index) {
        members[index].id = {"10.0.0." + std::to_string(index) + ":7000", {1}};
    }
    const auto chosen = candidates_of(0, members);
    REQUIRE(chosen.size() == 2);
    std::swap(members.front(), members.back());
    REQUIRE(candidates_of(0, members) == chosen);
    for (auto& each : members) {
        each.draining = each.id == chosen[0];
        each.status =
            each.id == chosen[1] ? membership::member_status::suspect : membership::member_status::alive;
    }
    const auto others = candidates_of(0, members);
    REQUIRE(others.size() == 2);
    REQUIRE(std::find(others.begin(), others.end(), chosen[0]) == others.end());
    REQUIRE(std::find(others.begin(), others.end(), chosen[1]) == others.end());
}
