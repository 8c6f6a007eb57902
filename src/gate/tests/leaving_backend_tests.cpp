// Requests, announcements and timers that are late relative to the backend server's deregistration.
#include "gate/gate_table.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <variant>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;

namespace {

/// Returns the first attempt end that the gate sent; nullopt if it sent none.
std::optional<transport::attempt_end> end_of(const tests::gate_fixture& fixture) {
    for (const auto& frame : fixture.sender.sent) {
        if (const auto* end = std::get_if<transport::attempt_end>(&frame.payload)) {
            return *end;
        }
    }
    return std::nullopt;
}

/// Whether a request that arrives now reaches the backend server, which then closes the connection.
bool reaches_backend(tests::gate_fixture& fixture) {
    fixture.service.received(tests::request_frame(1, fixture.clock.now() + 60s));
    auto connection = fixture.accept();
    const bool is_read = fixture.read_request(connection);
    connection.close();
    REQUIRE(fixture.run_until_idle());
    return is_read;
}

} // namespace

TEST_CASE("a request whose connection is made too late doesn't reach a deregistered server",
          "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    fixture.announce("first");
    fixture.service.received(tests::request_frame(1, clock.now() + 60s));
    CHECK(fixture.service.leave("first", clock.now() + 1s));
    clock.advance(1s);
    auto connection = fixture.accept();
    REQUIRE(fixture.run_until([&] { return end_of(fixture).has_value(); }));
    CHECK(end_of(fixture)->run == core::verdict::not_run);
    CHECK(end_of(fixture)->reason == transport::end_reason::no_backend);
    CHECK_FALSE(fixture.read_request(connection));
}

TEST_CASE("a request that arrives before the deregistration takes effect is served", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    fixture.announce("first");
    CHECK(fixture.service.leave("first", clock.now() + 1s));
    clock.advance(999ms);
    CHECK(reaches_backend(fixture));
}

TEST_CASE("a request that arrives after the deregistration took effect is refused even if the timer is late",
          "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    fixture.announce("first");
    CHECK(fixture.service.leave("first", clock.now() + 1s));
    clock.advance(1s);
    fixture.service.received(tests::request_frame(1, clock.now() + 60s));
    REQUIRE(end_of(fixture));
    CHECK(end_of(fixture)->reason == transport::end_reason::no_backend);
}

TEST_CASE("a deregistration without a known backend server does not stop the next one", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    CHECK(fixture.service.leave("", clock.now() + 1s));
    fixture.announce("second");
    clock.advance(2s);
    CHECK(reaches_backend(fixture));
}

TEST_CASE("a late timer withdraws the deregistered server and not its successor", "[leaving_backend]") {
    testing::manual_clock clock;
    gate_table table(true);
    table.announce({"mappa", "127.0.0.1:1", 4, 8, "first"}, clock.now());
    table.leave_at(clock.now() + 1s);
    static_cast<void>(table.withdraw_if_left(clock.now()));
    CHECK(table.backend());
    clock.advance(1s);
    table.announce({"mappa", "127.0.0.1:1", 4, 8, "second"}, clock.now());
    static_cast<void>(table.withdraw_if_left(clock.now()));
    REQUIRE(table.backend());
    CHECK(table.backend()->instance == "second");
    table.leave_at(clock.now());
    static_cast<void>(table.withdraw_if_left(clock.now()));
    CHECK_FALSE(table.backend());
}

TEST_CASE("a late announcement of a deregistered server doesn't keep it in service", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    const auto port = std::to_string(fixture.backend.local_endpoint().port());
    const auto announce = [&](const std::string& instance) {
        return fixture.service.announce({"mappa", "127.0.0.1:" + port, 4, 8, instance});
    };
    CHECK(announce("first"));
    CHECK(fixture.service.leave("first", clock.now() + 1s));
    CHECK_FALSE(announce("first"));
    clock.advance(1s);
    fixture.service.received(tests::request_frame(1, clock.now() + 60s));
    REQUIRE(end_of(fixture));
    CHECK_FALSE(announce("first"));
    CHECK(announce("second"));
    CHECK(fixture.service.backend()->instance == "second");
}

TEST_CASE("a late deregistration of the previous instance does not stop the later one", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    fixture.announce("first");
    fixture.announce("second");
    CHECK_FALSE(fixture.service.leave("first", clock.now()));
    CHECK(reaches_backend(fixture));
}
