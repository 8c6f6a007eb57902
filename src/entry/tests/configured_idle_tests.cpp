// Guards against connections that are closed while the configuration still lets callers use them again: a
// request on its way is lost (LOST).
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds idle_patience = 1s;

constexpr char first_request[] = "GET /answer/1/10 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n\r\n";
constexpr char request[] = "POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                           "Connection: close\r\nContent-Length: 0\r\n\r\n";

/// A fleet whose entries close connections early, unless the configuration says otherwise.
struct short_idle_fleet : wired_fleet {
    short_idle_fleet()
        : wired_fleet({}, 1, [](entry::entry_options& options) { options.idle_patience = idle_patience; }) {
        daemon(0).announce();
        daemon(1).announce();
    }

    void let_callers_keep_connections(std::chrono::milliseconds idle_time) {
        change_rules([&](configuration::document& rules) { rules.caller_idle_time = idle_time; });
    }

    /// Has one request of the caller answered; its connection is idle after it.
    void use(raw_caller& caller) {
        caller.read_answer();
        caller.send(first_request);
        REQUIRE(run_until([&] { return caller.has_head(); }));
        run_ready();
    }

    /// Runs until a connection would have been closed without the configuration.
    void wait_past_patience() {
        std::this_thread::sleep_for(idle_patience);
        run_ready();
    }
};

} // namespace

TEST_CASE("a connection is closed though the configuration lets its caller use it again", "[idle_time]") {
    short_idle_fleet fleet;
    const bool is_changed_before_use = GENERATE(true, false);
    CAPTURE(is_changed_before_use);
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    if (is_changed_before_use) {
        fleet.let_callers_keep_connections(1h);
    }
    fleet.use(caller);
    fleet.let_callers_keep_connections(1h);
    fleet.wait_past_patience();
    CHECK_FALSE(caller.has_ended());
    caller.send(request);
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(fleet.runs("/effect/1") == 1);
}

TEST_CASE("a new connection is closed though the configuration lets its caller wait", "[idle_time]") {
    short_idle_fleet fleet;
    fleet.let_callers_keep_connections(1h);
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.read_answer();
    fleet.run_ready();
    fleet.wait_past_patience();
    CHECK_FALSE(caller.has_ended());
    caller.send(request);
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(fleet.runs("/effect/1") == 1);
}

TEST_CASE("a connection outlives the idle time of the configuration", "[idle_time]") {
    short_idle_fleet fleet;
    fleet.let_callers_keep_connections(idle_patience * 3 / 2);
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    fleet.use(caller);
    CHECK(fleet.run_until([&] { return caller.has_ended(); }));
}
