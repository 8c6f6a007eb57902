#include "gate/gate_table.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

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
