#include "concurrency/concurrency_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <random>
#include <vector>

using namespace monsoonlift::concurrency;
using namespace std::chrono_literals;
using monsoonlift::core::steady_time;

namespace {

/// A simulated backend server that runs up to `real_slots` requests at full speed; beyond that, all running
/// requests slow down in proportion.
struct simple_server {
    double real_slots;
    std::chrono::milliseconds service{10};
};

/// Simulates rounds of runs in which every slot that the limit allows is used.
void simulate_rounds(limit_state& state, const simple_server& server, int rounds, steady_time& now,
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

/// A simulated backend server that refuses requests when its slots are taken, and otherwise refuses a random
/// share of them.
struct refusing_server {
    std::uint32_t slots;
    double refused_share;
    std::chrono::milliseconds service{44};
    std::chrono::milliseconds refusal{1};
};

struct arrival_counts {
    std::uint32_t offered = 0;
    std::uint32_t held_back = 0; ///< Requests not sent because the limit was reached.
    std::uint32_t ran = 0;
};

/// Offers requests at a constant mean rate for the given time; requests that exceed the limit are dropped.
arrival_counts offer(limit_state& state, const refusing_server& server, double per_second,
                     std::chrono::milliseconds during, steady_time& now, std::mt19937_64& random) {
    struct run {
        steady_time ends;
        std::chrono::milliseconds takes;
        bool refused;
    };
    constexpr auto step = 1ms;
    std::poisson_distribution<std::uint32_t> arrivals(per_second / 1000);
    std::bernoulli_distribution refuses(server.refused_share);
    std::vector<run> runs;
    arrival_counts counts;
    for (const auto until = now + during; now < until; now += step) {
        const auto ended =
            std::partition(runs.begin(), runs.end(), [&](const run& request) { return request.ends > now; });
        for (auto request = ended; request != runs.end(); ++request) {
            release(state, request->refused ? run_outcome::refused : run_outcome::finished, request->takes,
                    now);
        }
        runs.erase(ended, runs.end());
        for (auto left = arrivals(random); left > 0; --left) {
            ++counts.offered;
            if (!try_acquire(state, now)) {
                ++counts.held_back;
                continue;
            }
            const auto taken =
                std::count_if(runs.begin(), runs.end(), [](const run& request) { return !request.refused; });
            const bool refused = taken >= server.slots || refuses(random);
            const auto takes = refused ? server.refusal : server.service;
            counts.ran += refused ? 0 : 1;
            runs.push_back({now + takes, takes, refused});
        }
    }
    for (const auto& request : runs) {
        release(state, request.refused ? run_outcome::refused : run_outcome::finished, request.takes, now);
    }
    return counts;
}

std::uint32_t slots_taken(limit_state state, steady_time now) {
    while (try_acquire(state, now)) {
    }
    return state.running;
}

} // namespace

TEST_CASE("the limit exceeds the slots or the connections of the server", "[concurrency]") {
    struct bound_case {
        limit_bounds bounds;
        std::uint32_t most;
    };
    const bound_case cases[] = {{{45, 360}, 45}, {{45, 20}, 20}, {{1, 1}, 1}, {{0, 0}, 1}};
    for (const auto& tried : cases) {
        steady_time now{1h};
        auto state = cold_start(tried.bounds, now);
        simulate_rounds(state, {1000}, 500, now);
        REQUIRE(slots_taken(state, now) == tried.most);
    }
}

TEST_CASE("a server that has just started gets full load at once", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    REQUIRE(slots_taken(state, now) == 10);
    REQUIRE(slots_taken(state, now + 1s) == 25);
    REQUIRE(slots_taken(state, now + 2s) == 40);
}

TEST_CASE("a server that only its gate is new to does not get all its slots at once", "[concurrency]") {
    const steady_time now{1h};
    REQUIRE(slots_taken(cold_start({40, 400}, now, 0ms), now) == 40);
}

TEST_CASE("a server's ramp ends later than its slow start, or than the longest ramp", "[concurrency]") {
    const steady_time now{1h};
    const auto nearly_warm = cold_start({40, 400}, now, 500ms);
    REQUIRE(slots_taken(nearly_warm, now) == 10);
    REQUIRE(slots_taken(nearly_warm, now + 500ms) == 40);
    const auto slow = cold_start({40, 400}, now, 10s);
    REQUIRE(slots_taken(slow, now + 1s) == 25);
    REQUIRE(slots_taken(slow, now + longest_ramp) == 40);
}

TEST_CASE("refusals do not lower the limit, or block the server for good", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    now += 10s;
    simulate_rounds(state, {1000}, 200, now, run_outcome::refused);
    REQUIRE(slots_taken(state, now) == 1);
    SECTION("the limit does not recover within 2 s after the refusals have ended") {
        const auto ended = now;
        simulate_rounds(state, {1000}, 200, now);
        REQUIRE(slots_taken(state, now) == 40);
        REQUIRE(now - ended <= 2s);
    }
}

TEST_CASE("failed, timed-out or cancelled runs raise the limit", "[concurrency]") {
    const run_outcome outcomes[] = {run_outcome::failed, run_outcome::timed_out, run_outcome::cancelled};
    for (const auto outcome : outcomes) {
        steady_time now{1h};
        auto state = cold_start({40, 400}, now);
        now += 10s;
        simulate_rounds(state, {1000}, 200, now, run_outcome::refused);
        simulate_rounds(state, {1000, 1ms}, 200, now, outcome);
        REQUIRE(slots_taken(state, now) == 1);
    }
}

TEST_CASE("a server that slows down below its stated slots keeps its high limit", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    simulate_rounds(state, {10}, 20, now); // the ramp-up reveals the minimum service time
    simulate_rounds(state, {10}, 500, now);
    REQUIRE(slots_taken(state, now) >= 8);
    REQUIRE(slots_taken(state, now) <= 20);
}

TEST_CASE("random refusals by a server with free slots lower its limit", "[concurrency]") {
    for (const double refused_share : {0.3, 0.55, 0.8}) {
        INFO(refused_share);
        std::mt19937_64 random(20261205);
        steady_time now{1h};
        auto state = cold_start({179, 1174}, now);
        now += 10s;
        const refusing_server server{179, refused_share};
        static_cast<void>(offer(state, {179, 0}, 3600, 2s, now, random));
        static_cast<void>(offer(state, server, 3600, 2s, now, random));
        const auto steady = offer(state, server, 3600, 5s, now, random);
        CHECK(steady.held_back * 20 < steady.offered);
        static_cast<void>(offer(state, server, 900, 3s, now, random));
        const auto grown = offer(state, server, 3600, 5s, now, random);
        CHECK(grown.held_back * 20 < grown.offered);
    }
}

TEST_CASE("a server that refuses requests below its stated slots keeps its high limit", "[concurrency]") {
    std::mt19937_64 random(20261205);
    steady_time now{1h};
    auto state = cold_start({179, 1174}, now);
    now += 10s;
    const refusing_server server{20, 0};
    static_cast<void>(offer(state, server, 1800, 3s, now, random));
    const auto steady = offer(state, server, 1800, 5s, now, random);
    CHECK(slots_taken(state, now) <= 40);
    CHECK(steady.ran >= 0.9 * 5 * 20 / 0.044);
}

TEST_CASE("a slowdown unrelated to concurrency lowers the limit for good", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({40, 400}, now);
    simulate_rounds(state, {40}, 300, now);
    simulate_rounds(state, {40, 100ms}, 300, now);
    REQUIRE(slots_taken(state, now) >= 28); // a trial may be under way
    simulate_rounds(state, {40}, 60, now);
    REQUIRE(slots_taken(state, now) == 40);
}

TEST_CASE("runs that time out do not raise the typical service time", "[concurrency]") {
    steady_time now{1h};
    auto state = cold_start({4, 40}, now);
    simulate_rounds(state, {100}, 20, now);
    const auto before = typical_service(state);
    simulate_rounds(state, {100, 500ms}, 20, now, run_outcome::timed_out);
    REQUIRE(typical_service(state) > before);
}
