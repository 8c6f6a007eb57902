#include "core/types/call_ids.h"

#include <catch2/catch.hpp>

using monsoonlift::core::bucket_of;
using monsoonlift::core::parse_root_id;
using monsoonlift::core::root_id;

TEST_CASE("a root id survives its spelling", "[call_ids]") {
    root_id id;
    id.bytes[0] = 0xAB;
    id.bytes[15] = 0x01;
    REQUIRE(parse_root_id(to_string(id)) == id);
}

TEST_CASE("malformed root ids are refused", "[call_ids]") {
    REQUIRE_FALSE(parse_root_id("").has_value());
    REQUIRE_FALSE(parse_root_id("abc").has_value());
    REQUIRE_FALSE(parse_root_id("zz000000000000000000000000000000").has_value());
}

TEST_CASE("buckets are stable and within range", "[call_ids]") {
    root_id id;
    id.bytes[3] = 7;
    REQUIRE(bucket_of(id, 128) == bucket_of(id, 128));
    REQUIRE(bucket_of(id, 128) < 128);
    REQUIRE(bucket_of(id, 0) == 0);
}
