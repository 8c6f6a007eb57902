// Guards against the end of a connection that counts an answer as read once the kernel has it.
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <string>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

/// Answers of that size leave the daemon at once and wait in the kernel for their caller.
constexpr std::size_t answer_bytes = 400'000;

std::string large_request(const std::string& more_headers) {
    return "GET /answer/1/" + std::to_string(answer_bytes) +
           " HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n" + more_headers + "\r\n";
}

struct announced_fleet {
    announced_fleet() {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
    }

    /// Runs the daemons for a while in which the caller of an answer reads nothing.
    void leave_unread() {
        boost::asio::steady_timer pause(fleet.io(), 3s);
        bool is_over = false;
        pause.async_wait([&](const boost::system::error_code&) { is_over = true; });
        REQUIRE(fleet.run_until([&] { return is_over; }));
    }

    [[nodiscard]] bool is_answered() {
        const auto counters = fleet.daemon(0).entry().counters();
        return counters.answered == 1 && counters.in_flight == 0;
    }

    wired_fleet fleet{{}, 1};
};

} // namespace

TEST_CASE("an answer that its caller reads late is cut as the connection ends", "[session_end]") {
    announced_fleet announced;
    auto& fleet = announced.fleet;
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.send(large_request("Connection: close\r\n"));
    REQUIRE(fleet.run_until([&] { return announced.is_answered(); }));
    announced.leave_unread();
    caller.read_answer();
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(caller.answer().size() > answer_bytes);
}

TEST_CASE("an answer that its caller reads late is cut by the close of idle connections", "[session_end]") {
    announced_fleet announced;
    auto& fleet = announced.fleet;
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.send(large_request(""));
    REQUIRE(fleet.run_until([&] { return announced.is_answered(); }));
    fleet.daemon(0).entry().close_idle_connections();
    announced.leave_unread();
    caller.read_answer();
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(caller.answer().size() > answer_bytes);
}
