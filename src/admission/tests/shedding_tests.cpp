#include "admission/shedding.h"

#include <catch2/catch.hpp>

#include <random>
#include <vector>

using namespace monsoonlift::admission;
using namespace std::chrono_literals;
using monsoonlift::core::call_context;
using monsoonlift::core::class_rank;
using monsoonlift::core::steady_time;

namespace {

call_context random_call(std::mt19937_64& random, class_rank rank, std::uint32_t depth = 0) {
    call_context context;
    for (auto& byte : context.root.bytes) {
        byte = static_cast<std::uint8_t>(random());
    }
    context.rank = rank;
    context.depth = depth;
    return context;
}

/// Simulates one window of 100 ms: records the arrivals of each class, then `served` calls that start after
/// waiting for `wait` each.
void feed_window(overload_state& state, std::mt19937_64& random, steady_time& now,
                 const std::vector<int>& calls_by_rank, int served, std::chrono::milliseconds wait) {
    for (std::size_t rank = 0; rank < calls_by_rank.size(); ++rank) {
        for (int index = 0; index < calls_by_rank[rank]; ++index) {
            const auto context = random_call(random, static_cast<class_rank>(rank));
            record_arrival(state, context, admits(state.level, context));
        }
    }
    for (int index = 0; index < served; ++index) {
        now += std::chrono::nanoseconds(100ms) / served;
        record_wait(state, wait, now);
    }
}

double admitted_share(const shed_level& level, std::mt19937_64& random, class_rank rank) {
    int admitted = 0;
    for (int index = 0; index < 2000; ++index) {
        admitted += admits(level, random_call(random, rank)) ? 1 : 0;
    }
    return admitted / 2000.0;
}

} // namespace

TEST_CASE("the default threshold refuses a call of the last rank", "[shedding]") {
    call_context context;
    context.rank = 255;
    REQUIRE(admits(shed_level{}, context));
}

TEST_CASE("a threshold mixes up the order of classes, nested calls and new root calls", "[shedding]") {
    struct threshold_case {
        shed_level level;
        class_rank rank;
        std::uint32_t depth;
        bool admitted;
    };
    const threshold_case cases[] = {
        {{2, 0}, 1, 0, true},
        {{2, 0}, 2, 0, false},
        {{2, 0}, 2, 3, false},
        {{2, 0}, 3, 3, false},
        {{2, root_buckets}, 2, 1, true},  // all nested calls of the rank pass
        {{2, root_buckets}, 2, 0, false}, // no new root call of the rank passes
        {{2, shed_buckets}, 2, 0, true},
    };
    std::mt19937_64 random(1);
    for (const auto& tried : cases) {
        REQUIRE(admits(tried.level, random_call(random, tried.rank, tried.depth)) == tried.admitted);
    }
}

TEST_CASE("hops at different depths decide differently on the same root", "[shedding]") {
    std::mt19937_64 random(1);
    const shed_level level{1, root_buckets / 2};
    for (int index = 0; index < 100; ++index) {
        auto context = random_call(random, 1, 1);
        const bool admitted = admits(level, context);
        context.depth = 7;
        REQUIRE(admits(level, context) == admitted);
    }
}

TEST_CASE("the threshold sheds more, or other classes, than the overload requires", "[shedding]") {
    overload_state state;
    std::mt19937_64 random(1);
    steady_time now{1h};
    tick(state, now);
    for (int window = 0; window < 10; ++window) {
        feed_window(state, random, now, {30, 60, 210}, 100, 30ms);
    }
    REQUIRE(admitted_share(state.level, random, 0) == 1.0);
    REQUIRE(admitted_share(state.level, random, 1) > 0.9);
    REQUIRE(admitted_share(state.level, random, 2) < 0.2);
}

TEST_CASE("a busy server sheds calls although none had to wait", "[shedding]") {
    overload_state state;
    std::mt19937_64 random(1);
    steady_time now{1h};
    for (int window = 0; window < 10; ++window) {
        feed_window(state, random, now, {30, 60, 10}, 100, 0ms);
    }
    REQUIRE(state.level == shed_level{});
}

TEST_CASE("the threshold stays strict after the overload has ended", "[shedding]") {
    overload_state state;
    std::mt19937_64 random(1);
    steady_time now{1h};
    tick(state, now);
    for (int window = 0; window < 10; ++window) {
        feed_window(state, random, now, {30, 60, 210}, 100, 30ms);
    }
    REQUIRE(state.level != shed_level{});
    SECTION("while fewer calls arrive") {
        for (int window = 0; window < 10; ++window) {
            feed_window(state, random, now, {10, 20, 20}, 50, 0ms);
        }
    }
    SECTION("while nothing arrives") {
        for (int step = 0; step < 100; ++step) {
            now += 20ms;
            tick(state, now);
        }
    }
    REQUIRE(state.level == shed_level{});
}

TEST_CASE("the threshold stays strict after an overload because slots are few and some calls always wait",
          "[shedding]") {
    overload_state state;
    std::mt19937_64 random(1);
    steady_time now{1h};
    record_service(state, 40ms);
    tick(state, now);
    for (int window = 0; window < 10; ++window) {
        feed_window(state, random, now, {30, 60, 210}, 100, 60ms);
    }
    REQUIRE(state.level != shed_level{});
    for (int window = 0; window < 10; ++window) {
        feed_window(state, random, now, {10, 20, 0}, 10, 0ms);
        feed_window(state, random, now, {0, 0, 20}, 20, 60ms);
    }
    REQUIRE(state.level == shed_level{});
}

TEST_CASE("a wait of less than one service time counts as overload", "[shedding]") {
    struct wait_case {
        std::chrono::milliseconds service;
        std::chrono::milliseconds wait;
        bool shed;
    };
    const wait_case cases[] = {
        {40ms, 30ms, false}, {40ms, 50ms, true}, {2ms, 9ms, false}, {2ms, 30ms, true}, {0ms, 30ms, true}};
    for (const auto& tried : cases) {
        overload_state state;
        std::mt19937_64 random(1);
        steady_time now{1h};
        record_service(state, tried.service);
        tick(state, now);
        for (int window = 0; window < 10; ++window) {
            feed_window(state, random, now, {30, 60, 20}, 100, tried.wait);
        }
        REQUIRE((state.level != shed_level{}) == tried.shed);
    }
}

namespace {

/// Simulates one window of 100 ms in which each started call is the newest one, while `waiting` calls stay in
/// the queue and `unserved` of them leave it without being served.
void feed_last_come_window(overload_state& state, std::mt19937_64& random, steady_time& now, int served,
                           std::size_t waiting, std::size_t unserved) {
    for (int index = 0; index < 2 * served; ++index) {
        const auto context = random_call(random, 0);
        record_arrival(state, context, admits(state.level, context));
    }
    record_queue(state, waiting);
    record_unserved(state, unserved);
    for (int index = 0; index < served; ++index) {
        now += std::chrono::nanoseconds(100ms) / served;
        record_wait(state, 0ms, now);
    }
}

overload_state queue_watching_state(steady_time now) {
    overload_state state;
    state.settings.watches_queue = true;
    tick(state, now);
    return state;
}

} // namespace

TEST_CASE("a queue that starts the newest call hides overload", "[shedding]") {
    struct overload_case {
        std::size_t waiting;
        std::size_t unserved;
        bool overloaded;
    };
    const overload_case cases[] = {{148, 0, true}, {1, 20, true}, {0, 0, false}, {5, 0, false}};
    for (const auto& tried : cases) {
        std::mt19937_64 random(1);
        steady_time now{1h};
        auto state = queue_watching_state(now);
        for (int window = 0; window < 3; ++window) {
            feed_last_come_window(state, random, now, 100, tried.waiting, tried.unserved);
        }
        CAPTURE(tried.waiting, tried.unserved);
        REQUIRE((state.level != shed_level{}) == tried.overloaded);
    }
}

TEST_CASE("a gate whose process is short of processor time admits everything", "[shedding]") {
    struct lateness_case {
        std::vector<std::chrono::milliseconds> lateness; ///< Of the timers in each window.
        bool overloaded;
    };
    const lateness_case cases[] = {{{15ms, 20ms, 12ms, 18ms}, true},
                                   {{1ms, 2ms, 1ms, 4ms}, false},
                                   {{500ms, 0ms, 0ms, 0ms}, false}}; // one pause of the VM
    for (const auto& tried : cases) {
        std::mt19937_64 random(1);
        steady_time now{1h};
        auto state = queue_watching_state(now);
        for (int window = 0; window < 3; ++window) {
            for (const auto lateness : tried.lateness) {
                record_lateness(state, lateness);
            }
            feed_last_come_window(state, random, now, 100, 0, 0);
        }
        REQUIRE((state.level != shed_level{}) == tried.overloaded);
    }
}

TEST_CASE("a threshold refuses a call whose chain has done work already", "[shedding]") {
    std::mt19937_64 random(1);
    auto context = random_call(random, 1, 1);
    context.position = 100;
    REQUIRE_FALSE(admits({1, 50}, context));
    context.work_spent = 3;
    REQUIRE(admits({1, 50}, context));
    REQUIRE_FALSE(admits({1, 0}, context));
    REQUIRE_FALSE(admits({0, 128}, context));
}
