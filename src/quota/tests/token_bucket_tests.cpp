#include "quota/token_bucket.h"

#include "quota/quota_rules.h"
#include "quota/shards.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace std::chrono_literals;

namespace {

const core::endpoint_id entry{"10.0.0.1:7000", {5}};
const core::endpoint_id other{"10.0.0.2:7000", {5}};

core::boot_time at(std::chrono::milliseconds time) {
    return core::boot_time(1h + time);
}

/// A full bucket of 10 a second and a capacity of 20.
token_bucket full_bucket() {
    auto bucket = empty_bucket({10, 10}, at(-10'000ms));
    refill(bucket, at(0ms));
    REQUIRE(bucket.level == 20);
    return bucket;
}

} // namespace

TEST_CASE("a bucket begins empty, so that a new owner grants nothing twice", "[token_bucket]") {
    auto bucket = empty_bucket({10, 10}, at(0ms));
    const auto given = grant(bucket, entry, 1, {"a", 1, 0, 1}, at(0ms));
    REQUIRE(given.tokens == 0);
    REQUIRE(given.refused);
    REQUIRE(given.retry_after == 100ms);
}

TEST_CASE("tokens in advance are granted only while half of the capacity is left", "[token_bucket]") {
    auto bucket = full_bucket();
    REQUIRE(grant(bucket, entry, 1, {"a", 0, 15, 0}, at(0ms)).tokens == 10);
    REQUIRE(grant(bucket, entry, 2, {"a", 0, 5, 0}, at(0ms)).tokens == 0);
    REQUIRE(grant(bucket, entry, 3, {"a", 12, 5, 0}, at(0ms)).tokens == 10);
}

TEST_CASE("only tokens of that grant are taken back, once and in time", "[token_bucket]") {
    auto bucket = full_bucket();
    REQUIRE(grant(bucket, entry, 1, {"a", 20, 0, 0}, at(0ms)).tokens == 20);
    take_back(bucket, entry, {"a", 2, 5}, at(0ms));
    take_back(bucket, other, {"a", 1, 5}, at(0ms));
    REQUIRE(bucket.level == 0);
    take_back(bucket, entry, {"a", 1, 15}, at(0ms));
    take_back(bucket, entry, {"a", 1, 15}, at(0ms));
    REQUIRE(bucket.level == 20);
    REQUIRE(grant(bucket, entry, 3, {"a", 20, 0, 0}, at(0ms)).tokens == 20);
    take_back(bucket, entry, {"a", 3, 20}, at(501ms));
    REQUIRE(bucket.level == Approx(5.01));
}

TEST_CASE("tokens returned and granted in turn don't let the bucket fill beside them", "[token_bucket]") {
    // Ten entries hold two tokens each and exchange them before they expire; 18 more must not collect.
    auto bucket = full_bucket();
    std::uint64_t sequence = 0;
    std::uint64_t held = 0;
    for (auto now = 0ms; now < 20'000ms; now += 40ms) {
        if (sequence >= 10) {
            take_back(bucket, entry, {"a", sequence - 9, 2}, at(now));
            held -= 2;
        }
        held += grant(bucket, entry, ++sequence, {"a", 2, 0, 0}, at(now)).tokens;
        REQUIRE(bucket.level + static_cast<double>(held) <= 20 + 10 * 0.5 + 1e-6);
    }
}

TEST_CASE("a lowered limit drops the tokens beyond the new capacity", "[token_bucket]") {
    auto bucket = full_bucket();
    change_limit(bucket, {1, 2}, at(0ms));
    REQUIRE(bucket.level <= 12);
    refill(bucket, at(1000ms));
    REQUIRE(bucket.level <= 12);
}

TEST_CASE("a repeat, a request that was overtaken and one of an earlier incarnation get nothing",
          "[token_bucket]") {
    shard_owner owner;
    set_limits(owner, shard_of("a"), {{"a", {10, 10}}}, at(-10'000ms));
    const auto ask = [&](const core::endpoint_id& from, std::uint64_t sequence) {
        const ask_message request{shard_of("a"), sequence, {{"a", 1, 0, 1}}, {}};
        const auto reply = answer(owner, from, request, at(0ms));
        REQUIRE(reply.holds);
        return reply.grants.empty() ? 0 : reply.grants.front().tokens;
    };
    REQUIRE(ask(entry, 5) == 1);
    REQUIRE(ask(entry, 5) == 0);
    REQUIRE(ask(entry, 4) == 0);
    REQUIRE(ask({entry.address, {4}}, 6) == 0);
    REQUIRE(ask({entry.address, {6}}, 1) == 1);
    REQUIRE(ask(entry, 7) == 0);
}

TEST_CASE("the demand of an account is the sum over its entries, refused calls included", "[token_bucket]") {
    shard_owner owner;
    set_limits(owner, shard_of("a"), {{"a", {10, 10}}}, at(0ms));
    std::uint64_t sequence = 0;
    for (auto now = 0ms; now < 20'000ms; now += 100ms) {
        ++sequence;
        static_cast<void>(answer(owner, entry, {shard_of("a"), sequence, {{"a", 1, 0, 3}}, {}}, at(now)));
        static_cast<void>(answer(owner, other, {shard_of("a"), sequence, {{"a", 1, 0, 1}}, {}}, at(now)));
    }
    REQUIRE(demand_at(owner.buckets["a"].demand, at(20'000ms)) == Approx(40).epsilon(0.05));
    REQUIRE(demand_at(owner.buckets["a"].demand, at(30'000ms)) < 1);
}
