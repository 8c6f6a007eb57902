#include "quota/held_tokens.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace std::chrono_literals;
using outcome = token_decision::outcome;

namespace {

const core::endpoint_id owner{"10.0.0.9:7000", {3}};

core::boot_time at(std::chrono::milliseconds time) {
    return core::boot_time(1h + time);
}

held_tokens new_tokens() {
    held_tokens entry;
    REQUIRE(set_accounts(entry, {{"a", {10, 10}}}).empty());
    return entry;
}

token_decision call(held_tokens& entry, std::chrono::milliseconds now) {
    return take(entry, "a", at(now), at(now + longest_wait));
}

/// Sends the request for the calls that wait and returns its number.
std::uint64_t ask(held_tokens& entry, std::chrono::milliseconds now) {
    auto request = ask_for_waiting(entry, "a", at(now));
    REQUIRE(request.asks.size() == 1);
    request.sequence = entry.last_sequence + 1;
    note_sent(entry, request, owner, at(now));
    return request.sequence;
}

grant_message grant_of(std::uint64_t sequence, std::uint32_t tokens, bool refused = false) {
    grant_message reply;
    reply.shard = shard_of("a");
    reply.sequence = sequence;
    reply.holds = true;
    reply.grants.push_back({"a", tokens, refused, refused ? 70ms : 0ms, 12});
    return reply;
}

} // namespace

TEST_CASE("a call of an account without a limit takes no token", "[held_tokens]") {
    auto entry = new_tokens();
    const auto decision = take(entry, "b", at(0ms), at(100ms));
    REQUIRE(decision.what == outcome::granted);
    REQUIRE(decision.token.account.empty());
}

TEST_CASE("two calls of one account don't use the same token", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto sequence = ask(entry, 0ms);
    const auto settled = take_answer(entry, owner, grant_of(sequence, 1), at(7ms));
    REQUIRE(settled.size() == 1);
    REQUIRE(settled.front().decision.what == outcome::granted);
    REQUIRE(call(entry, 8ms).what == outcome::waits);
}

TEST_CASE("an answer counts once, from the daemon that was asked, in the time of its tokens",
          "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto sequence = ask(entry, 0ms);
    REQUIRE(take_answer(entry, {owner.address, {2}}, grant_of(sequence, 1), at(7ms)).empty());
    REQUIRE(take_answer(entry, owner, grant_of(sequence + 1, 1), at(7ms)).empty());
    REQUIRE(take_answer(entry, owner, grant_of(sequence, 1), at(7ms)).size() == 1);
    REQUIRE(take_answer(entry, owner, grant_of(sequence, 1), at(7ms)).empty());
    REQUIRE(tokens_of(entry.accounts["a"], at(7ms)) == 0);

    REQUIRE(call(entry, 1000ms).what == outcome::waits);
    const auto late = ask(entry, 1000ms);
    REQUIRE(take_answer(entry, owner, grant_of(late, 1), at(1500ms)).empty());
}

TEST_CASE("an answer with more tokens than were asked for brings only those", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    REQUIRE(take_answer(entry, owner, grant_of(ask(entry, 0ms), 50), at(7ms)).size() == 1);
    REQUIRE(tokens_of(entry.accounts["a"], at(7ms)) == 0);
}

TEST_CASE("tokens expire from the moment of the request on", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto settled = take_answer(entry, owner, grant_of(ask(entry, 0ms), 1), at(100ms));
    REQUIRE(settled.size() == 1);
    const auto token = settled.front().decision.token;
    REQUIRE(token.expires == at(token_lifetime));
    give_back(entry, token, at(200ms));
    REQUIRE(tokens_of(entry.accounts["a"], at(499ms)) == 1);
    REQUIRE(tokens_of(entry.accounts["a"], at(500ms)) == 0);
    REQUIRE(call(entry, 500ms).what == outcome::waits);
    give_back(entry, token, at(500ms));
    REQUIRE(tokens_of(entry.accounts["a"], at(500ms)) == 0);
}

TEST_CASE("a token that is given back serves the next call", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto settled = take_answer(entry, owner, grant_of(ask(entry, 0ms), 1), at(7ms));
    give_back(entry, settled.front().decision.token, at(10ms));
    REQUIRE(call(entry, 20ms).what == outcome::granted);
    REQUIRE(call(entry, 20ms).what == outcome::waits);
}

TEST_CASE("after a definite no calls are refused without asking until there is a token", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto settled = take_answer(entry, owner, grant_of(ask(entry, 0ms), 0, true), at(7ms));
    REQUIRE(settled.size() == 1);
    REQUIRE(settled.front().decision.what == outcome::limited);
    REQUIRE(settled.front().decision.retry_after == 70ms);
    const auto next = call(entry, 17ms);
    REQUIRE(next.what == outcome::limited);
    REQUIRE(next.retry_after == 60ms);
    REQUIRE(call(entry, 77ms).what == outcome::waits);
}

TEST_CASE("a call without an answer waits for its time and not past its deadline", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    REQUIRE(take(entry, "a", at(0ms), at(40ms)).what == outcome::waits);
    REQUIRE(take(entry, "a", at(0ms), at(0ms)).what == outcome::no_answer);
    REQUIRE(expire_waiting(entry, at(39ms)).empty());
    REQUIRE(expire_waiting(entry, at(40ms)).size() == 1);
    const auto settled = expire_waiting(entry, at(150ms));
    REQUIRE(settled.size() == 1);
    REQUIRE(settled.front().decision.what == outcome::no_answer);
}

TEST_CASE("a call is asked for again when no answer comes, and both answers count", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto first = ask(entry, 0ms);
    REQUIRE(find_overdue(entry, at(50ms)).empty());
    REQUIRE_FALSE(has_unasked(entry, shard_of("a")));
    REQUIRE(find_overdue(entry, at(60ms)).size() == 1);
    REQUIRE(has_unasked(entry, shard_of("a")));
    REQUIRE(find_overdue(entry, at(70ms)).empty());
    const auto second = ask(entry, 70ms);
    REQUIRE(take_answer(entry, owner, grant_of(first, 1), at(80ms)).size() == 1);
    REQUIRE(take_answer(entry, owner, grant_of(second, 1), at(90ms)).empty());
    REQUIRE(tokens_of(entry.accounts["a"], at(90ms)) == 1);
}

TEST_CASE("unused tokens are returned while they are valid, and can't be used any more", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto sequence = ask(entry, 0ms);
    const auto settled = take_answer(entry, owner, grant_of(sequence, 2), at(7ms));
    give_back(entry, settled.back().decision.token, at(10ms));
    REQUIRE(ask_ahead(entry, shard_of("a"), at(100ms)).returned.empty());
    const auto request = ask_ahead(entry, shard_of("a"), at(200ms));
    REQUIRE(request.returned.size() == 1);
    REQUIRE(request.returned.front().sequence == sequence);
    REQUIRE(request.returned.front().tokens == 1);
    REQUIRE(call(entry, 210ms).what == outcome::waits);
}

TEST_CASE("tokens are asked for ahead from the entry's own demand, and not for thin demand",
          "[held_tokens]") {
    auto entry = new_tokens();
    for (auto now = 0ms; now < 10'000ms; now += 500ms) {
        static_cast<void>(call(entry, now));
    }
    REQUIRE(ask_ahead(entry, shard_of("a"), at(10'000ms)).asks.front().ahead == 0);
    for (auto now = 10'000ms; now < 20'000ms; now += 50ms) {
        static_cast<void>(call(entry, now));
    }
    const auto ahead = ask_ahead(entry, shard_of("a"), at(20'000ms)).asks.front().ahead;
    REQUIRE(ahead >= 6);
    REQUIRE(ahead <= 8);
}

TEST_CASE("calls that wait are let through when their account's limit is removed", "[held_tokens]") {
    auto entry = new_tokens();
    REQUIRE(call(entry, 0ms).what == outcome::waits);
    const auto settled = set_accounts(entry, {});
    REQUIRE(settled.size() == 1);
    REQUIRE(settled.front().decision.what == outcome::granted);
}

TEST_CASE("an entry asks the holder it knows, else the candidates in turn", "[held_tokens]") {
    const core::endpoint_id first{"10.0.0.1:7000", {1}};
    const core::endpoint_id second{"10.0.0.2:7000", {1}};
    shard_route route;
    REQUIRE_FALSE(target_of(route));
    route.candidates = {first, second};
    REQUIRE(target_of(route) == first);
    REQUIRE(note_not_holder(route, first, owner));
    REQUIRE(target_of(route) == owner);
    REQUIRE_FALSE(note_not_holder(route, owner, {}));
    REQUIRE(target_of(route) == first);
    note_silence(route, first);
    REQUIRE(target_of(route) == second);
    note_holder(route, second);
    note_silence(route, first);
    REQUIRE(target_of(route) == second);
}
