// A backend server that is restarted at the same address so fast that no connection is refused.
#include "gate/gate_service.h"
#include "testing/silent_log.h"

#include "core/system_clock.h"
#include "gate/gate_table.h"
#include "gate/tests/request_frame.h"
#include "metrics/metrics_registry.h"
#include "testing/manual_clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

class counting_sender final : public transport::frame_sender {
public:
    void send(const core::endpoint_id&, transport::frame) override { ++sent; }
    [[nodiscard]] core::endpoint_id self() const override { return {"127.0.0.1:7000", {1}}; }

    std::size_t sent = 0;
};

/// A gate whose backend server takes connections and never answers.
struct gate_fixture {
    gate_fixture() {
        crashes.emplace(clock, sender.self(), execution::crash_limits(), log,
                        [this](std::uint32_t, const std::string& payload) {
                            const auto report = execution::read_crash(payload);
                            REQUIRE(report);
                            reports.push_back(*report);
                        });
        service.emplace(io, gate_options(), sender, ledger, *crashes, budgets, clock, log, registry);
    }

    gate_fixture(const gate_fixture&) = delete;
    gate_fixture& operator=(const gate_fixture&) = delete;

    /// Lets the requests in flight end; a call that is broken off midway keeps itself alive.
    ~gate_fixture() {
        boost::system::error_code ignored;
        connection.close(ignored);
        static_cast<void>(run_until([&] { return service->counters().in_flight == 0; }));
    }

    void announce(const std::string& instance) {
        const auto port = std::to_string(backend.local_endpoint().port());
        service->announce({"mappa", "127.0.0.1:" + port, 4, 8, instance});
    }

    /// Sends a request and runs until the backend server has its connection.
    void begin_request() {
        service->received(tests::request_frame(++calls, clock.now() + 60s));
        std::optional<tcp::socket> accepted;
        backend.async_accept([&](const boost::system::error_code& failure, tcp::socket socket) {
            REQUIRE_FALSE(failure);
            accepted.emplace(std::move(socket));
        });
        REQUIRE(run_until([&] { return accepted.has_value(); }));
        connection = std::move(*accepted);
    }

    bool run_until(const std::function<bool()>& reached) {
        constexpr auto longest_wait = 20s;
        const auto end = std::chrono::steady_clock::now() + longest_wait;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            io.run_one_for(20ms);
        }
        return reached();
    }

    boost::asio::io_context io;
    tcp::acceptor backend{io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket connection{io};
    core::system_clock clock;
    testing::silent_log log;
    counting_sender sender;
    std::vector<execution::crash_report> reports;
    execution::execution_ledger ledger{clock, sender.self(), {}};
    nested_budgets budgets;
    metrics::metrics_registry registry;
    std::optional<execution::crash_guard> crashes;
    std::optional<gate_service> service;
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
        gate.announce(wanted.before);
        gate.begin_request();
        if (wanted.expected) {
            gate.service->expect_withdrawal();
        }
        gate.announce(wanted.after);
        REQUIRE(gate.reports.size() == wanted.reports);
        for (const auto& report : gate.reports) {
            CHECK(report.in_flight.size() == 1);
        }
        gate.announce(wanted.after);
        CHECK(gate.reports.size() == wanted.reports);
    }
}

TEST_CASE("a request broken off by a restart that refuses no connection is reported", "[backend_restart]") {
    gate_fixture gate;
    gate.announce("first");
    gate.begin_request();
    gate.connection.close();
    REQUIRE(gate.run_until([&] { return gate.sender.sent > 0; }));
    CHECK(gate.reports.empty());
    gate.announce("second");
    REQUIRE(gate.reports.size() == 1);
    CHECK(gate.reports.front().in_flight.size() == 1);
}

TEST_CASE("a late announcement of the instance before changes nothing", "[backend_restart]") {
    gate_fixture gate;
    gate.announce("first");
    gate.begin_request();
    gate.announce("second");
    gate.announce("first");
    CHECK(gate.service->backend()->instance == "second");
    gate.announce("second");
    CHECK(gate.reports.size() == 1);
    gate.announce("third");
    CHECK(gate.reports.size() == 2);
}

TEST_CASE("a backend server at another address is no restart", "[backend_restart]") {
    gate_fixture gate;
    gate.announce("first");
    gate.begin_request();
    gate.service->announce({"mappa", "127.0.0.1:1", 4, 8, "second"});
    CHECK(gate.reports.empty());
    CHECK(gate.service->backend()->instance == "second");
}

TEST_CASE("nothing is reported of an instance that had nothing in flight", "[backend_restart]") {
    gate_fixture gate;
    gate.announce("first");
    gate.announce("second");
    CHECK(gate.reports.empty());
    CHECK(gate.service->backend()->instance == "second");
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
