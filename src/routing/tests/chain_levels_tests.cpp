// Scenario: a service deep in the call chain of one kind of call is overloaded; answers report its threshold
// to the entry.
#include "routing/chain_levels.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::routing;
using namespace std::chrono_literals;
using admission::shed_level;

namespace {

const core::steady_time start{1h};

core::call_context root_of(std::uint8_t number, core::class_rank rank) {
    core::call_context context;
    context.root.bytes = {number, 17, 3};
    context.rank = rank;
    return context;
}

double admitted_share(const shed_level& level, core::class_rank rank) {
    constexpr int roots = 256;
    int admitted = 0;
    for (int number = 0; number < roots; ++number) {
        admitted += chain_admits(level, root_of(static_cast<std::uint8_t>(number), rank)) ? 1 : 0;
    }
    return static_cast<double>(admitted) / roots;
}

} // namespace

TEST_CASE("an entry admits root calls whose nested calls are refused further down, or refuses others",
          "[chain_levels]") {
    chain_levels levels;
    for (int answer = 0; answer < 10; ++answer) {
        record_chain(levels, "status", shed_level{2, 64}, start);
    }
    const auto level = chain_level(levels, "status", start + 100ms);
    CHECK(level == shed_level{2, 64});
    CHECK(admitted_share(level, 0) == 1);
    CHECK(admitted_share(level, 2) == Approx(0.5).margin(0.12));
    for (int number = 0; number < 256; ++number) {
        const auto root = root_of(static_cast<std::uint8_t>(number), 2);
        auto nested = root;
        nested.depth = 2;
        const bool passes_below = core::bucket_of(nested.root, admission::root_buckets) < level.bucket;
        CHECK(chain_admits(level, root) == passes_below);
    }
}

TEST_CASE("an overload in the chain of one kind of call sheds calls of other kinds", "[chain_levels]") {
    chain_levels levels;
    for (int answer = 0; answer < 10; ++answer) {
        record_chain(levels, "status", shed_level{0, 1}, start);
    }
    CHECK(chain_level(levels, "photo", start) == shed_level{});
}

TEST_CASE("an entry keeps refusing root calls after the overload in their chain has ended",
          "[chain_levels]") {
    chain_levels levels;
    for (int answer = 0; answer < 10; ++answer) {
        record_chain(levels, "status", shed_level{0, 0}, start);
    }
    const auto strict = chain_level(levels, "status", start);
    CHECK(admitted_share(strict, 2) > 0);
    CHECK(admitted_share(strict, 2) < 0.1);
    CHECK(chain_level(levels, "status", start + 2s) == shed_level{});
    for (int answer = 0; answer < 20; ++answer) {
        record_chain(levels, "status", {}, start + 500ms);
    }
    CHECK(chain_level(levels, "status", start + 500ms) == shed_level{});
}

TEST_CASE("a single answer makes an entry refuse root calls", "[chain_levels]") {
    chain_levels levels;
    record_chain(levels, "status", shed_level{0, 0}, start);
    CHECK(chain_level(levels, "status", start) == shed_level{});
}

TEST_CASE("an entry learns a reported threshold only after a whole chain", "[chain_levels]") {
    chain_levels levels;
    for (int answer = 0; answer < 10; ++answer) {
        record_chain(levels, "status", {}, start);
    }
    record_chain(levels, "status", shed_level{2, 64}, start + 10ms);
    record_chain(levels, "status", shed_level{2, 64}, start + 20ms);
    REQUIRE(chain_level(levels, "status", start + 20ms) == shed_level{});
    REQUIRE(chain_level(levels, "status", start + 20ms, reported_levels) == shed_level{2, 64});
    REQUIRE(chain_level(levels, "status", start + 1100ms, reported_levels) == shed_level{});
}
