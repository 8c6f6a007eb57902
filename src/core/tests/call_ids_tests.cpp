#include "core/types/call_ids.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <random>
#include <set>

using monsoonlift::core::bucket_of;
using monsoonlift::core::make_incarnation;
using monsoonlift::core::parse_root_id;
using monsoonlift::core::root_id;

TEST_CASE("a root id changes when formatted and parsed", "[call_ids]") {
    root_id id;
    id.bytes[0] = 0xAB;
    id.bytes[15] = 0x01;
    REQUIRE(parse_root_id(to_string(id)) == id);
}

TEST_CASE("a malformed root id is accepted", "[call_ids]") {
    REQUIRE_FALSE(parse_root_id("").has_value());
    REQUIRE_FALSE(parse_root_id("abc").has_value());
    REQUIRE_FALSE(parse_root_id("zz000000000000000000000000000000").has_value());
}

TEST_CASE("a bucket is out of range or differs between calls", "[call_ids]") {
    root_id id;
    id.bytes[3] = 7;
    REQUIRE(bucket_of(id, 128) == bucket_of(id, 128));
    REQUIRE(bucket_of(id, 128) < 128);
    REQUIRE(bucket_of(id, 0) == 0);
}

TEST_CASE("two daemons of a fleet that starts at once get the same incarnation", "[call_ids]") {
    constexpr std::size_t daemons = 920;
    const monsoonlift::core::wall_time started{std::chrono::hours(24 * 365 * 57)};
    std::mt19937_64 random(1);
    std::set<std::uint64_t> lives;
    for (std::size_t daemon = 0; daemon < daemons; ++daemon) {
        // NOTE: all daemons start within 100 ms, as when a complete fleet is switched on.
        const auto delay = std::chrono::microseconds(random() % 100'000);
        lives.insert(make_incarnation(started + delay, random()).value);
    }
    REQUIRE(lives.size() == daemons);
}

TEST_CASE("a later incarnation at the same address is smaller because of its random bits", "[call_ids]") {
    using namespace std::chrono_literals;
    const monsoonlift::core::wall_time started{std::chrono::hours(24 * 365 * 57)};
    const auto highest = make_incarnation(started, ~std::uint64_t{0});
    const auto lowest_of_next = make_incarnation(started + 1ms, 0);
    REQUIRE(highest < lowest_of_next);
}

TEST_CASE("an incarnation is smaller than its predecessor's because the time of day was set back",
          "[call_ids]") {
    using namespace std::chrono_literals;
    const monsoonlift::core::wall_time started{std::chrono::hours(24 * 365 * 57)};
    const auto predecessor = make_incarnation(started, 7);
    REQUIRE(predecessor < make_incarnation(started - 4s, 7, predecessor));
    REQUIRE(make_incarnation(started + 4s, 7, predecessor) == make_incarnation(started + 4s, 7));
}
