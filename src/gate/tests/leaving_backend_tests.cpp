// Requests, announcements and timers that are late when the backend server has said that it leaves.
#include "gate/gate_table.h"
#include "gate/tests/gate_rig.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <variant>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;

namespace {

/// How the gate ended an attempt; nothing if it sent no end.
std::optional<transport::attempt_end> end_of(const tests::gate_rig& rig) {
    for (const auto& frame : rig.sender.sent) {
        if (const auto* end = std::get_if<transport::attempt_end>(&frame.payload)) {
            return *end;
        }
    }
    return std::nullopt;
}

/// Whether a request that comes now is handed to the backend server, which breaks it off.
bool reaches_backend(tests::gate_rig& rig) {
    rig.service.received(tests::request_frame(1, rig.clock.now() + 60s));
    auto connection = rig.accept();
    const bool is_read = rig.read_request(connection);
    connection.close();
    REQUIRE(rig.run_until_idle());
    return is_read;
}

} // namespace

TEST_CASE("a request whose connection comes late doesn't reach a server that has left", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    rig.announce("first");
    rig.service.received(tests::request_frame(1, clock.now() + 60s));
    CHECK(rig.service.leave("first", clock.now() + 1s));
    clock.advance(1s);
    auto connection = rig.accept();
    REQUIRE(rig.run_until([&] { return end_of(rig).has_value(); }));
    CHECK(end_of(rig)->run == core::verdict::not_run);
    CHECK(end_of(rig)->reason == transport::end_reason::no_backend);
    CHECK_FALSE(rig.read_request(connection));
}

TEST_CASE("a request that comes before the leaving server's time is over is served", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    rig.announce("first");
    CHECK(rig.service.leave("first", clock.now() + 1s));
    clock.advance(999ms);
    CHECK(reaches_backend(rig));
}

TEST_CASE("a request that comes after the leaving server's time is refused, however late the timer",
          "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    rig.announce("first");
    CHECK(rig.service.leave("first", clock.now() + 1s));
    clock.advance(1s);
    rig.service.received(tests::request_frame(1, clock.now() + 60s));
    REQUIRE(end_of(rig));
    CHECK(end_of(rig)->reason == transport::end_reason::no_backend);
}

TEST_CASE("the leaving of a server that nobody knew leaves the next one at work", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    CHECK(rig.service.leave("", clock.now() + 1s));
    rig.announce("second");
    clock.advance(2s);
    CHECK(reaches_backend(rig));
}

TEST_CASE("the time of a server that left withdraws it and not the one that came since",
          "[leaving_backend]") {
    testing::manual_clock clock;
    gate_table table(true);
    table.announce({"mappa", "127.0.0.1:1", 4, 8, "first"}, clock.now());
    table.leave_at(clock.now() + 1s);
    static_cast<void>(table.drop_left(clock.now()));
    CHECK(table.backend());
    clock.advance(1s);
    table.announce({"mappa", "127.0.0.1:1", 4, 8, "second"}, clock.now());
    static_cast<void>(table.drop_left(clock.now()));
    REQUIRE(table.backend());
    CHECK(table.backend()->instance == "second");
    table.leave_at(clock.now());
    static_cast<void>(table.drop_left(clock.now()));
    CHECK_FALSE(table.backend());
}

TEST_CASE("a late announcement of the server that leaves doesn't keep it at work", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    const auto port = std::to_string(rig.backend.local_endpoint().port());
    const auto announce = [&](const std::string& instance) {
        return rig.service.announce({"mappa", "127.0.0.1:" + port, 4, 8, instance});
    };
    CHECK(announce("first"));
    CHECK(rig.service.leave("first", clock.now() + 1s));
    CHECK_FALSE(announce("first"));
    clock.advance(1s);
    rig.service.received(tests::request_frame(1, clock.now() + 60s));
    REQUIRE(end_of(rig));
    CHECK_FALSE(announce("first"));
    CHECK(announce("second"));
    CHECK(rig.service.backend()->instance == "second");
}

TEST_CASE("a late withdrawal by the instance before leaves the later one at work", "[leaving_backend]") {
    testing::manual_clock clock;
    tests::gate_rig rig(clock);
    rig.announce("first");
    rig.announce("second");
    CHECK_FALSE(rig.service.leave("first", clock.now()));
    CHECK(reaches_backend(rig));
}
