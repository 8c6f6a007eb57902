#include "gate/internal/attempt_memory.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;
using gate::internal::attempt_memory;

namespace {

constexpr core::steady_time start{100s};

core::attempt_id attempt(std::uint64_t call) {
    return {{7}, call, 0};
}

bool none_runs(std::uint64_t) {
    return false;
}

} // namespace

TEST_CASE("an attempt with a long deadline doesn't keep later ones in memory", "[gate]") {
    attempt_memory memory;
    REQUIRE(memory.add(attempt(1), 1, start + 600s));
    REQUIRE(memory.add(attempt(2), 2, start + 10s));
    memory.forget(start + 11s, none_runs);
    REQUIRE(memory.size() == 1);
    REQUIRE(memory.run_of(attempt(1)) == 1);
    REQUIRE_FALSE(memory.run_of(attempt(2)));
}

TEST_CASE("a copy of a remembered attempt is not added", "[gate]") {
    attempt_memory memory;
    REQUIRE(memory.add(attempt(1), 1, start + 10s));
    REQUIRE_FALSE(memory.add(attempt(1), 2, start + 20s));
    memory.forget(start + 10s, none_runs);
    REQUIRE(memory.run_of(attempt(1)) == 1);
    memory.forget(start + 11s, none_runs);
    REQUIRE(memory.size() == 0);
}

TEST_CASE("an attempt whose time passes while it runs is forgotten after its run alone", "[gate]") {
    attempt_memory memory;
    REQUIRE(memory.add(attempt(1), 1, start + 10s));
    REQUIRE(memory.add(attempt(2), 2, start + 11s));
    memory.forget(start + 12s, [](std::uint64_t run) { return run == 1; });
    REQUIRE(memory.run_of(attempt(1)) == 1);
    REQUIRE_FALSE(memory.run_of(attempt(2)));
    memory.forget(start + 13s, none_runs);
    REQUIRE(memory.size() == 0);
}
