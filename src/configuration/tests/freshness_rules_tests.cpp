// Tests which events prove that a configuration is recent, whom a daemon asks and when it reads the store.
#include "configuration/freshness_holder.h"
#include "configuration/freshness_message.h"
#include "configuration/freshness_rules.h"
#include "configuration/tests/small_fleet.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <set>

using namespace monsoonlift;
using namespace monsoonlift::configuration;
using namespace std::chrono_literals;
using monsoonlift::configuration::tests::member_of;

namespace {

constexpr core::boot_time start{1h};

const freshness_rule rule = freshness_rule_within(5s);

std::vector<core::endpoint_id> endpoints(const std::string& kind, std::size_t count) {
    std::vector<core::endpoint_id> made;
    for (std::size_t at = 0; at < count; ++at) {
        made.push_back({kind + std::to_string(at), {at + 1}});
    }
    return made;
}

freshness_state state_with_peers(bool is_watcher = false, std::size_t others = 66) {
    freshness_state state;
    state.peers = {is_watcher, endpoints("near", 2), endpoints("far", 4), endpoints("other", others)};
    return state;
}

} // namespace

TEST_CASE("a read proves the revision in force only if the store has no lower one", "[freshness]") {
    CHECK(proof_of_read(7, 7, start) == freshness_proof{7, start});
    CHECK(proof_of_read(8, 7, start) == freshness_proof{8, start});
    CHECK_FALSE(proof_of_read(6, 7, start)); // A store that was restored from an older copy.
    CHECK_FALSE(proof_of_read(0, 0, start));
}

TEST_CASE("an answer proves the revision as of the question less the age that was told", "[freshness]") {
    CHECK(proof_of_answer({1, 7, 800ms}, 7, start) == freshness_proof{7, start - 800ms});
    CHECK(proof_of_answer({1, 8, 800ms}, 7, start) == freshness_proof{8, start - 800ms});
    CHECK_FALSE(proof_of_answer({1, 6, 0ms}, 7, start));
    CHECK_FALSE(proof_of_answer({1, 7, -1ms}, 7, start));
}

// Guards against a configuration that is served as recent because a later one was proven to be.
TEST_CASE("a proof about a higher revision counts once that or a higher one is in force", "[freshness]") {
    freshness_state state;
    keep_pending(state, {8, start});
    keep_pending(state, {9, start + 1s});
    keep_pending(state, {11, start + 2s});
    CHECK_FALSE(take_pending(state, 7));
    CHECK(take_pending(state, 9) == freshness_proof{9, start + 1s});
    CHECK_FALSE(take_pending(state, 10));
    CHECK(take_pending(state, 12) == freshness_proof{11, start + 2s});
    CHECK(state.pending.empty());
    for (std::uint64_t revision = 1; revision <= 100; ++revision) {
        keep_pending(state, {revision, start});
    }
    CHECK(state.pending.size() < 10);
}

TEST_CASE("calls are served until the proof is older than the bound", "[freshness]") {
    CHECK_FALSE(may_serve(std::nullopt, 5s, start));
    CHECK(may_serve(start, 5s, start + 5s));
    CHECK_FALSE(may_serve(start, 5s, start + 5s + 1ns));
}

TEST_CASE("the latest proof is held, whatever the order in which proofs arrive", "[freshness]") {
    freshness_holder held(5s);
    CHECK_FALSE(held.proven());
    held.note({7, start + 1s});
    held.note({6, start});
    CHECK(held.proven() == start + 1s);
    CHECK(held.latest() == freshness_proof{7, start + 1s});
}

TEST_CASE("a series of refusals is reported once at its beginning and once at its end", "[freshness]") {
    freshness_holder held(5s);
    held.note({7, start});
    CHECK_FALSE(held.end_refusals(start));
    CHECK(held.count_refusal(start + 6s));
    CHECK_FALSE(held.count_refusal(start + 7s));
    CHECK_FALSE(held.end_refusals(start + 8s)); // The proof is still too old.
    held.note({7, start + 8s});
    const auto ended = held.end_refusals(start + 9s);
    REQUIRE(ended);
    CHECK(ended->calls == 2);
    CHECK(ended->lasted == 3s);
    CHECK_FALSE(held.end_refusals(start + 9s));
    CHECK(held.count_refusal(start + 20s));
    CHECK(held.refused() == 3);
}

TEST_CASE("messages about the age are read as they were written, and malformed ones are refused",
          "[freshness]") {
    const auto question = decode_freshness_message(encode(freshness_question{12}));
    REQUIRE(question);
    CHECK(std::get<freshness_question>(*question).number == 12);
    const auto answer = decode_freshness_message(encode(freshness_answer{12, 7, 1500us, 9, 2}));
    REQUIRE(answer);
    CHECK(std::get<freshness_answer>(*answer).accepted == 9);
    CHECK(std::get<freshness_answer>(*answer).known_era == 2);
    CHECK(std::get<freshness_answer>(*answer).question == 12);
    CHECK(std::get<freshness_answer>(*answer).revision == 7);
    CHECK(std::get<freshness_answer>(*answer).age == 1500us);
    CHECK_FALSE(decode_freshness_message(""));
    CHECK_FALSE(decode_freshness_message("\xff\xff\xff"));
    CHECK_FALSE(decode_freshness_message(encode(freshness_question{0})));
    CHECK_FALSE(decode_freshness_message(encode(freshness_answer{12, 0, 1us})));
    CHECK_FALSE(decode_freshness_message(encode(freshness_answer{12, 7, std::chrono::hours(1'000'000)})));
    CHECK_FALSE(decode_freshness_message(encode(freshness_answer{12, 7, std::chrono::microseconds::max()})));
}

TEST_CASE("a daemon asks a watcher of its data centre once in the regular interval", "[freshness]") {
    auto state = state_with_peers();
    store::random_engine random(1);
    const auto asked = next_to_ask(state, rule, start, random, start);
    REQUIRE(asked.size() == 1);
    CHECK(asked[0].address.starts_with("near"));
    record_useful_answer(state, rule, start, start + 5ms);
    CHECK(next_to_ask(state, rule, start, random, start + rule.ask_interval - 1ms).empty());
    CHECK(next_to_ask(state, rule, start, random, start + rule.ask_interval).size() == 1);
}

TEST_CASE("a question without an answer goes to every other watcher in turn", "[freshness]") {
    auto state = state_with_peers();
    store::random_engine random(1);
    std::set<std::string> asked;
    auto now = start;
    for (int round = 0; round < 6; ++round) {
        for (const auto& each : next_to_ask(state, rule, now, random, now)) {
            asked.insert(each.address);
        }
        now += rule.retry_interval;
    }
    CHECK(asked.size() == 6);
}

TEST_CASE("while its proof is late a daemon also asks any peer, and a watcher asks too", "[freshness]") {
    const bool is_watcher = GENERATE(false, true);
    auto state = state_with_peers(is_watcher);
    store::random_engine random(1);
    const auto now = start + rule.late_after + 1ms;
    const auto asked = next_to_ask(state, rule, start, random, now);
    REQUIRE(asked.size() > 1);
    CHECK(asked[1].address.starts_with("other"));
    CHECK(next_to_ask(state, rule, start, random, now + rule.retry_interval - 1ms).empty());
    CHECK_FALSE(next_to_ask(state, rule, start, random, now + rule.retry_interval).empty());
}

TEST_CASE("a late proof in an answer does not satisfy a daemon", "[freshness]") {
    auto state = state_with_peers();
    store::random_engine random(1);
    CHECK_FALSE(next_to_ask(state, rule, start, random, start).empty());
    record_useful_answer(state, rule, start - rule.bound, start + 1ms);
    CHECK_FALSE(next_to_ask(state, rule, start, random, start + rule.retry_interval).empty());
}

TEST_CASE("a watcher whose proof is recent asks nobody", "[freshness]") {
    auto state = state_with_peers(true);
    store::random_engine random(1);
    CHECK(next_to_ask(state, rule, start, random, start + 1s).empty());
}

TEST_CASE("a daemon alone asks nobody", "[freshness]") {
    freshness_state state;
    store::random_engine random(1);
    CHECK(next_to_ask(state, rule, std::nullopt, random, start).empty());
}

TEST_CASE("a question is answered once, and forgotten after the bound", "[freshness]") {
    freshness_state state;
    const auto first = record_question(state, rule, start);
    const auto second = record_question(state, rule, start + 1s);
    CHECK(take_question(state, first) == start);
    CHECK_FALSE(take_question(state, first));
    static_cast<void>(record_question(state, rule, start + 1s + rule.bound + 1ms));
    CHECK_FALSE(take_question(state, second));
}

TEST_CASE("a watcher reads regularly, also while the store is slow, with a bound on reads in flight",
          "[freshness]") {
    auto state = state_with_peers(true);
    store::random_engine random(1);
    std::size_t reads = 0;
    for (auto passed = 0ms; passed < 10s; passed += 10ms) {
        reads += reads_store(state, rule, start + passed, random, start + passed) ? 1 : 0;
    }
    CHECK(reads == 20);
    state.reads = rule.most_reads;
    CHECK_FALSE(reads_store(state, rule, start, random, start + 20s));
}

TEST_CASE("other daemons read the store only while their proof is old, at a bounded rate for the fleet",
          "[freshness]") {
    const std::size_t members = GENERATE(67, 300, 920);
    constexpr auto outage = 60s;
    std::size_t reads = 0;
    for (std::size_t daemon = 0; daemon < members; ++daemon) {
        auto state = state_with_peers(false, members - 1);
        store::random_engine random(daemon + 1);
        CHECK_FALSE(reads_store(state, rule, start, random, start + rule.read_after));
        for (auto passed = rule.read_after + 10ms; passed < outage; passed += 50ms) {
            reads += reads_store(state, rule, start, random, start + passed) ? 1 : 0;
        }
    }
    const auto seconds = std::chrono::duration<double>(outage - rule.read_after).count();
    CHECK(static_cast<double>(reads) / seconds < 1.15 * rule.extra_reads_per_second);
    CHECK(static_cast<double>(reads) / seconds > 0.7 * rule.extra_reads_per_second);
}

TEST_CASE("all daemons agree on the watchers, two for each data centre", "[freshness]") {
    std::vector<membership::member> members;
    for (int at = 0; at < 30; ++at) {
        members.push_back(member_of("10.0.0." + std::to_string(at), "centre-" + std::to_string(at % 3)));
    }
    members[0].draining = true;
    members[1].status = membership::member_status::dead;
    std::size_t watchers = 0;
    for (const auto& each : members) {
        const auto found = find_freshness_peers(each.id.address, each.data_centre, members, 2);
        const bool is_eligible = !each.draining && each.status == membership::member_status::alive;
        watchers += found.is_watcher && is_eligible ? 1 : 0;
        const std::size_t itself = found.is_watcher && is_eligible ? 1 : 0;
        CHECK(found.near_watchers.size() + itself == 2);
        CHECK(found.far_watchers.size() == 4);
        for (const auto& watcher : found.near_watchers) {
            CHECK(is_watcher(watcher.address, each.data_centre, members, 2));
        }
    }
    CHECK(watchers == 6);
}
