// A backend server that is restarted at the same address so fast that no connection attempt is refused.
#include "core/system_clock.h"
#include "gate/gate_table.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A gate whose backend server accepts connections and never answers.
struct silent_backend_fixture {
    silent_backend_fixture() = default;
    silent_backend_fixture(const silent_backend_fixture&) = delete;
    silent_backend_fixture& operator=(const silent_backend_fixture&) = delete;

    /// Waits until the requests in flight have ended; an unfinished call keeps itself alive.
    ~silent_backend_fixture() {
        boost::system::error_code ignored;
        connection.close(ignored);
        static_cast<void>(fixture.run_until_idle());
    }

    /// Sends a request and runs until the backend server has accepted its connection.
    void begin_request() {
        fixture.service.received(tests::request_frame(++calls, clock.now() + 60s));
        connection = fixture.accept();
    }

    core::system_clock clock;
    tests::gate_fixture fixture{clock};
    tcp::socket connection{fixture.io};
    std::uint64_t calls = 0;
};

} // namespace

TEST_CASE("an unannounced restart at the same address is reported as a crash of the previous instance",
          "[backend_restart]") {
    struct restart_case {
        const char* what;
        std::string before;
        std::string after;
        bool deregistered; ///< Whether the backend server had deregistered.
        std::size_t reports;
    };
    const restart_case cases[] = {
        {"another instance", "first", "second", false, 1},
        {"the same instance", "first", "first", false, 0},
        {"no instance announced before", "", "second", false, 0},
        {"no instance announced after", "first", "", false, 0},
        {"no instance announced", "", "", false, 0},
        {"a deregistration", "first", "second", true, 0},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        silent_backend_fixture gate;
        gate.fixture.announce(test_case.before);
        gate.begin_request();
        if (test_case.deregistered) {
            gate.fixture.service.leave(test_case.before, gate.clock.now() + 1h);
        }
        gate.fixture.announce(test_case.after);
        REQUIRE(gate.fixture.reports.size() == test_case.reports);
        for (const auto& report : gate.fixture.reports) {
            CHECK(report.in_flight.size() == 1);
        }
        gate.fixture.announce(test_case.after);
        CHECK(gate.fixture.reports.size() == test_case.reports);
    }
}

TEST_CASE("a request aborted by a restart is reported although no connection was refused",
          "[backend_restart]") {
    silent_backend_fixture gate;
    gate.fixture.announce("first");
    gate.begin_request();
    gate.connection.close();
    REQUIRE(gate.fixture.run_until([&] { return !gate.fixture.sender.sent.empty(); }));
    CHECK(gate.fixture.reports.empty());
    gate.fixture.announce("second");
    REQUIRE(gate.fixture.reports.size() == 1);
    CHECK(gate.fixture.reports.front().in_flight.size() == 1);
}

TEST_CASE("a late announcement of the previous instance changes nothing", "[backend_restart]") {
    silent_backend_fixture gate;
    gate.fixture.announce("first");
    gate.begin_request();
    gate.fixture.announce("second");
    gate.fixture.announce("first");
    CHECK(gate.fixture.service.backend()->instance == "second");
    gate.fixture.announce("second");
    CHECK(gate.fixture.reports.size() == 1);
    gate.fixture.announce("third");
    CHECK(gate.fixture.reports.size() == 2);
}

TEST_CASE("a backend server at another address is not taken for a restart", "[backend_restart]") {
    silent_backend_fixture gate;
    gate.fixture.announce("first");
    gate.begin_request();
    gate.fixture.service.announce({"mappa", "127.0.0.1:1", 4, 8, "second"});
    CHECK(gate.fixture.reports.empty());
    CHECK(gate.fixture.service.backend()->instance == "second");
}

TEST_CASE("no crash is reported for an instance that had nothing in flight", "[backend_restart]") {
    silent_backend_fixture gate;
    gate.fixture.announce("first");
    gate.fixture.announce("second");
    CHECK(gate.fixture.reports.empty());
    CHECK(gate.fixture.service.backend()->instance == "second");
}

TEST_CASE("a new instance does not inherit the concurrency limit of the previous one", "[backend_restart]") {
    testing::manual_clock clock;
    gate_table table(true);
    constexpr std::uint32_t slots = 64;
    const auto announce = [&](std::uint32_t count, const std::string& instance) {
        return table.announce({"mappa", "127.0.0.1:1", count, slots, instance}, clock.now());
    };
    CHECK(announce(1, "first"));
    const auto least = table.report().limit;
    CHECK(announce(slots, "first"));
    CHECK(table.report().limit == least);
    CHECK_FALSE(announce(slots, "first"));
    CHECK(announce(slots, "second"));
    CHECK(table.report().limit > least);
}
