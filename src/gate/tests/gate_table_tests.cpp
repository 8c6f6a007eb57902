#include "gate/gate_table.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using transport::end_reason;

namespace {

core::call_context call_until(core::steady_time deadline) {
    core::call_context context;
    context.deadline = deadline;
    return context;
}

/// What callers get of a gate that has just started, over two seconds of load from the first moment on.
struct first_seconds {
    std::uint32_t called = 0;
    std::uint32_t refused = 0;
    std::uint32_t least_limit = 0; ///< Lowest limit reported to entries.
};

/// Plays nested calls on a backend server with 45 slots and 40 ms a run, at 0.8 of its capacity.
first_seconds play_first_seconds(const backend_server& server) {
    constexpr std::chrono::microseconds interval = 1111us;
    constexpr std::chrono::milliseconds service_time = 40ms;
    testing::manual_clock clock;
    gate_table table(true);
    table.announce(server, clock.now());
    std::multimap<core::steady_time, std::uint64_t> ends;
    first_seconds seen;
    seen.least_limit = server.slots;
    const auto note = [&](const gate_changes& changes) {
        seen.refused += static_cast<std::uint32_t>(changes.refused.size());
        for (const auto run : changes.started) {
            ends.emplace(clock.now() + service_time, run);
        }
    };
    const auto end = clock.now() + 2s;
    while (clock.now() < end) {
        core::call_context context = call_until(clock.now() + 300ms);
        context.depth = 1;
        note(table.arrive(++seen.called, "priorita", context, clock.now()));
        seen.least_limit = std::min(seen.least_limit, table.report().limit);
        clock.advance(interval);
        while (!ends.empty() && ends.begin()->first <= clock.now()) {
            ends.erase(ends.begin());
            note(table.finish(concurrency::run_outcome::finished, service_time, clock.now()));
        }
        note(table.tick(clock.now()));
    }
    return seen;
}

backend_server server_of_45_slots(std::optional<std::chrono::milliseconds> cold_for) {
    return {"priorita", "127.0.0.1:1", 45, 450, "first", "first", cold_for};
}

struct table_under_test {
    explicit table_under_test(bool decisions_on = true) : table(decisions_on) {
        table.announce({"mappa", "127.0.0.1:1", 4, 8}, clock.now());
    }

    gate_changes arrive(std::uint64_t run) {
        return table.arrive(run, "mappa", call_until(clock.now() + 1s), clock.now());
    }

    testing::manual_clock clock;
    gate_table table;
};

} // namespace

TEST_CASE("a gate that starts beside a warm server refuses calls that the server has room for", "[gate]") {
    const auto warm = play_first_seconds(server_of_45_slots(0ms));
    REQUIRE(warm.refused == 0);
    REQUIRE(warm.least_limit == 45);
    const auto cold = play_first_seconds(server_of_45_slots(5s));
    REQUIRE(cold.refused > 0);
}

TEST_CASE("entries are told more slots than a server in its slow start is given", "[gate]") {
    REQUIRE(play_first_seconds(server_of_45_slots(5s)).least_limit < 45 / 3);
    REQUIRE(play_first_seconds(server_of_45_slots(std::nullopt)).least_limit < 45 / 3);
}

TEST_CASE("a server whose slow start goes on is not announced anew with each heartbeat", "[gate]") {
    testing::manual_clock clock;
    gate_table table(true);
    REQUIRE(table.announce(server_of_45_slots(5s), clock.now()));
    REQUIRE_FALSE(table.announce(server_of_45_slots(4s), clock.now()));
}

TEST_CASE("a call that can't run at this gate is refused with the reason", "[gate]") {
    struct refusal_case {
        const char* what;
        const char* service;
        bool announced;
        bool draining;
        end_reason reason;
    };
    const refusal_case cases[] = {
        {"no backend server", "mappa", false, false, end_reason::no_backend},
        {"another service", "squadre", true, false, end_reason::wrong_service},
        {"draining", "mappa", true, true, end_reason::draining},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        testing::manual_clock clock;
        gate_table table(true);
        if (test_case.announced) {
            table.announce({"mappa", "127.0.0.1:1", 4, 8}, clock.now());
        }
        if (test_case.draining) {
            table.drain();
        }
        const auto changes = table.arrive(1, test_case.service, call_until(clock.now() + 1s), clock.now());
        REQUIRE(changes.started.empty());
        REQUIRE(changes.refused.size() == 1);
        REQUIRE(changes.refused[0].reason == test_case.reason);
    }
}

TEST_CASE("a call waits for a slot and starts when one is free", "[gate]") {
    table_under_test gate;
    std::uint64_t run = 0;
    while (gate.arrive(++run).started.size() == 1) {
    }
    REQUIRE(gate.table.report().waiting == 1);
    const auto changes = gate.table.finish(concurrency::run_outcome::finished, 1ms, gate.clock.now());
    REQUIRE(changes.started == std::vector<std::uint64_t>{run});
    REQUIRE(gate.table.report().waiting == 0);
}

TEST_CASE("a waiting call can be cancelled, a running one can't", "[gate]") {
    table_under_test gate;
    std::uint64_t run = 0;
    while (gate.arrive(++run).started.size() == 1) {
    }
    REQUIRE(gate.table.cancel(run));
    REQUIRE_FALSE(gate.table.cancel(run));
    REQUIRE_FALSE(gate.table.cancel(1));
}

TEST_CASE("waiting calls are refused when the backend server is withdrawn", "[gate]") {
    for (const bool decisions_on : {true, false}) {
        table_under_test gate(decisions_on);
        std::uint64_t run = 0;
        while (gate.arrive(++run).started.size() == 1) {
        }
        const auto changes = gate.table.withdraw();
        REQUIRE(changes.refused.size() == 1);
        REQUIRE(changes.refused[0].run == run);
        REQUIRE(changes.refused[0].reason == end_reason::no_backend);
    }
}

TEST_CASE("a waiting call is refused once it can't end in time", "[gate]") {
    table_under_test gate;
    std::uint64_t run = 0;
    while (gate.arrive(++run).started.size() == 1) {
    }
    gate.clock.advance(2s);
    const auto changes = gate.table.tick(gate.clock.now());
    REQUIRE(changes.refused.size() == 1);
    REQUIRE(changes.refused[0].run == run);
}

TEST_CASE("with decisions off, calls run in order of arrival and none is refused for its deadline",
          "[gate]") {
    table_under_test gate(false);
    for (std::uint64_t run = 1; run <= 4; ++run) {
        REQUIRE(gate.arrive(run).started.size() == 1);
    }
    REQUIRE(gate.arrive(5).started.empty());
    REQUIRE(gate.arrive(6).started.empty());
    gate.clock.advance(10s);
    REQUIRE(gate.table.tick(gate.clock.now()).refused.empty());
    const auto changes = gate.table.finish(concurrency::run_outcome::failed, 1ms, gate.clock.now());
    REQUIRE(changes.started == std::vector<std::uint64_t>{5});
}
