#include "core/types/verdict.h"

#include <catch2/catch.hpp>

using monsoonlift::core::parse_verdict;
using monsoonlift::core::verdict;

TEST_CASE("a verdict changes when formatted and parsed", "[verdict]") {
    for (const auto value : {verdict::not_run, verdict::ran, verdict::may_have_run}) {
        REQUIRE(parse_verdict(to_string(value)) == value);
    }
    REQUIRE_FALSE(parse_verdict("perhaps").has_value());
}
