// Scenario: the runs of a kind of call lead to an overloaded service, directly or through another service.
#include "routing/downstream_levels.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::routing;
using namespace std::chrono_literals;
using admission::shed_level;

namespace {

const core::steady_time start{1h};

} // namespace

TEST_CASE("a threshold of a service that runs of a kind call, or of one below it, is not known for that kind",
          "[downstream_levels]") {
    downstream_levels levels;
    record_called(levels, "lookup", "baggage", {1, 60}, start);
    record_called(levels, "lookup", "fares", {}, start);
    REQUIRE(downstream_level(levels, "lookup", start) == shed_level{1, 60});
    record_below(levels, "fares", {0, 40}, start);
    REQUIRE(downstream_level(levels, "lookup", start) == shed_level{0, 40});
    REQUIRE(downstream_level(levels, "seat", start) == shed_level{});
}

TEST_CASE("a threshold outlives the overload", "[downstream_levels]") {
    downstream_levels levels;
    record_called(levels, "lookup", "baggage", {1, 60}, start);
    REQUIRE(downstream_level(levels, "lookup", start + 1001ms) == shed_level{});
    record_called(levels, "lookup", "baggage", {1, 60}, start + 2s);
    record_called(levels, "lookup", "baggage", {}, start + 2100ms);
    REQUIRE(downstream_level(levels, "lookup", start + 2100ms) == shed_level{});
}
