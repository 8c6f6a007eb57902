// A backend server that is restarted at the same address so fast that no connection is refused.
#include "core/system_clock.h"
#include "gate/gate_table.h"
#include "gate/tests/gate_rig.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A gate whose backend server takes connections and never answers.
struct gate_fixture {
    gate_fixture() = default;
    gate_fixture(const gate_fixture&) = delete;
    gate_fixture& operator=(const gate_fixture&) = delete;

    /// Lets the requests in flight end; a call that is broken off midway keeps itself alive.
    ~gate_fixture() {
        boost::system::error_code ignored;
        connection.close(ignored);
        static_cast<void>(rig.run_until_idle());
    }

    /// Sends a request and runs until the backend server has its connection.
    void begin_request() {
        rig.service.received(tests::request_frame(++calls, clock.now() + 60s));
        connection = rig.accept();
    }

    core::system_clock clock;
    tests::gate_rig rig{clock};
    tcp::socket connection{rig.io};
    std::uint64_t calls = 0;
};

} // namespace

TEST_CASE("another instance at the same address is a crash of the one before", "[backend_restart]") {
    struct restart_case {
        const char* what;
        std::string before;
        std::string after;
        bool expected; ///< The backend server had said that it leaves.
        std::size_t reports;
    };
    const restart_case cases[] = {
        {"another instance", "first", "second", false, 1},
        {"the same instance", "first", "first", false, 0},
        {"none named before", "", "second", false, 0},
        {"none named after", "first", "", false, 0},
        {"none named", "", "", false, 0},
        {"a planned leave", "first", "second", true, 0},
    };
    for (const auto& wanted : cases) {
        INFO(wanted.what);
        gate_fixture gate;
        gate.rig.announce(wanted.before);
        gate.begin_request();
        if (wanted.expected) {
            gate.rig.service.leave(wanted.before, gate.clock.now() + 1h);
        }
        gate.rig.announce(wanted.after);
        REQUIRE(gate.rig.reports.size() == wanted.reports);
        for (const auto& report : gate.rig.reports) {
            CHECK(report.in_flight.size() == 1);
        }
        gate.rig.announce(wanted.after);
        CHECK(gate.rig.reports.size() == wanted.reports);
    }
}

TEST_CASE("a request broken off by a restart that refuses no connection is reported", "[backend_restart]") {
    gate_fixture gate;
    gate.rig.announce("first");
    gate.begin_request();
    gate.connection.close();
    REQUIRE(gate.rig.run_until([&] { return !gate.rig.sender.sent.empty(); }));
    CHECK(gate.rig.reports.empty());
    gate.rig.announce("second");
    REQUIRE(gate.rig.reports.size() == 1);
    CHECK(gate.rig.reports.front().in_flight.size() == 1);
}

TEST_CASE("a late announcement of the instance before changes nothing", "[backend_restart]") {
    gate_fixture gate;
    gate.rig.announce("first");
    gate.begin_request();
    gate.rig.announce("second");
    gate.rig.announce("first");
    CHECK(gate.rig.service.backend()->instance == "second");
    gate.rig.announce("second");
    CHECK(gate.rig.reports.size() == 1);
    gate.rig.announce("third");
    CHECK(gate.rig.reports.size() == 2);
}

TEST_CASE("a backend server at another address is no restart", "[backend_restart]") {
    gate_fixture gate;
    gate.rig.announce("first");
    gate.begin_request();
    gate.rig.service.announce({"mappa", "127.0.0.1:1", 4, 8, "second"});
    CHECK(gate.rig.reports.empty());
    CHECK(gate.rig.service.backend()->instance == "second");
}

TEST_CASE("nothing is reported of an instance that had nothing in flight", "[backend_restart]") {
    gate_fixture gate;
    gate.rig.announce("first");
    gate.rig.announce("second");
    CHECK(gate.rig.reports.empty());
    CHECK(gate.rig.service.backend()->instance == "second");
}

TEST_CASE("the limit of a new instance begins anew", "[backend_restart]") {
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
