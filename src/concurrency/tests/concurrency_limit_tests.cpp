#include "concurrency/concurrency_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace monsoonlift::concurrency;
using namespace std::chrono_literals;
using monsoonlift::core::steady_time;

namespace {

/// A backend server that runs `real_slots` requests at full speed and shares them out beyond that.
struct simple_server {
    double real_slots;
    std::chrono::milliseconds service{10};
};

/// Plays rounds in which the limit is always used up.
void play_rounds(limit_state& state, const simple_server& server, int rounds, steady_time& now,
                 run_outcome outcome = run_outcome::finished) {
    for (int round = 0; round < rounds; ++round) {
        while (try_acquire(state, now)) {
        }
        const double slowdown = std::max(1.0, state.running / server.real_slots);
        const auto service = std::chrono::duration_cast<std::chrono::nanoseconds>(server.service * slowdown);
        now += service;
        for (std::uint32_t left = state.running; left > 0; --left) {
            release(state, outcome, service, now);
        }
    }
}

std::uint32_t slots_taken(limit_state state, steady_time now) {
    while (try_acquire(state, now)) {
    }
    return state.running;
}

} // namespace

TEST_CASE("slots and connections both bound the limit", "[concurrency]") {
    struct bound_case {
        limit_bounds bounds;
        std::uint32_t most;
    };
    const bound_case cases[] = {{{45, 360}, 45}, {{45, 20}, 20}, {{1, 1}, 1}, {{0, 0}, 1}};
    for (const auto& tried : cases) {
        steady_time now{1h};
        auto state = cold_start(tried.bounds, now);
        play_rounds(state, {1000}, 500, now);
        REQUIRE(slots_taken(state, now) == tried.most);
    }
}

TEST_CASE("a cold start ramps up", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    REQUIRE(slots_taken(state, now) == 10);
    REQUIRE(slots_taken(state, now + 1s) == 25);
    REQUIRE(slots_taken(state, now + 2s) == 40);
}

TEST_CASE("refusals lower the limit, but never below one", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    now += 10s;
    play_rounds(state, {1000}, 200, now, run_outcome::refused);
    REQUIRE(slots_taken(state, now) == 1);
    SECTION("and it comes back when they end") {
        const auto ended = now;
        play_rounds(state, {1000}, 200, now);
        REQUIRE(slots_taken(state, now) == 40);
        REQUIRE(now - ended <= 2s);
    }
}

TEST_CASE("only finished runs raise the limit", "[concurrency]") {
    const run_outcome outcomes[] = {run_outcome::failed, run_outcome::timed_out, run_outcome::cancelled};
    for (const auto outcome : outcomes) {
        steady_time now{1h};
        auto state = cold_start({40, 400}, now);
        now += 10s;
        play_rounds(state, {1000}, 200, now, run_outcome::refused);
        play_rounds(state, {1000, 1ms}, 200, now, outcome);
        REQUIRE(slots_taken(state, now) == 1);
    }
}

TEST_CASE("a server that runs fewer than its slots is found out", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    play_rounds(state, {10}, 20, now); // the ramp shows the floor
    play_rounds(state, {10}, 500, now);
    REQUIRE(slots_taken(state, now) >= 8);
    REQUIRE(slots_taken(state, now) <= 20);
}

TEST_CASE("a slowdown that does not come of concurrency leaves the limit", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    play_rounds(state, {40}, 300, now);
    play_rounds(state, {40, 100ms}, 300, now);
    REQUIRE(slots_taken(state, now) >= 28); // a trial may be under way
    play_rounds(state, {40}, 60, now);
    REQUIRE(slots_taken(state, now) == 40);
}

TEST_CASE("runs that time out count as long ones", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({4, 40}, now);
    play_rounds(state, {100}, 20, now);
    const auto before = typical_service(state);
    play_rounds(state, {100, 500ms}, 20, now, run_outcome::timed_out);
    REQUIRE(typical_service(state) > before);
}
