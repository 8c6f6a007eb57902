// Guards against calls that a process takes, or sends on once more, in the last moments before it ends
// (LOST).
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

caller_request request_for(const std::string& target, std::chrono::milliseconds patience) {
    caller_request request;
    request.target = target;
    request.patience = patience;
    return request;
}

/// Makes one call through the first daemon and waits for its result.
caller_answer call_and_wait(wired_fleet& fleet, const caller_request& request) {
    caller_answer answer;
    bool ended = false;
    fleet.call(0, request, [&](caller_answer got) {
        answer = std::move(got);
        ended = true;
    });
    REQUIRE(fleet.run_until([&] { return ended; }));
    return answer;
}

std::uint64_t arrivals(wired_fleet& fleet) {
    return fleet.daemon(0).gate_totals().arrived + fleet.daemon(1).gate_totals().arrived;
}

} // namespace

TEST_CASE("an entry whose process is about to end sends no attempt once more", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    caller_answer answer;
    bool ended = false;
    fleet.call(0, request_for("/answer/never", 1min), [&](caller_answer got) {
        answer = std::move(got);
        ended = true;
    });
    REQUIRE(fleet.run_until([&] { return arrivals(fleet) == 1; }));
    fleet.daemon(0).entry().refuse_all_calls();
    fleet.daemon(0).entry().cancel_all_attempts();
    REQUIRE(fleet.run_until([&] { return ended; }));
    CHECK(answer.whole);
    CHECK(answer.status == 504);
    CHECK(answer.verdict == "may_have_run");
    CHECK(arrivals(fleet) == 1);
}

TEST_CASE("an entry whose process is about to end refuses calls on kept connections unrun", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.read_answer();
    fleet.run_ready();
    fleet.daemon(0).entry().refuse_all_calls();
    caller.send("POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\nConnection: close\r\n"
                "Content-Length: 0\r\n\r\n");
    REQUIRE(fleet.run_until([&] { return caller.has_head(); }));
    CHECK(caller.answer().starts_with("HTTP/1.1 503"));
    CHECK(caller.answer().find("Monsoonlift-Verdict: not_run") != std::string::npos);
    CHECK(fleet.daemon(0).gate_totals().arrived == 0);
}

TEST_CASE("a call that likely outlasts its entry's process is refused before it is sent", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    const core::system_clock clock;
    // No call of this kind has been answered, so that its default latency objective of 1 s counts.
    fleet.daemon(0).entry().end_calls_at(clock.now() + 500ms);
    const auto answer = call_and_wait(fleet, request_for("/answer/1/10", 1min));
    CHECK(answer.status == 503);
    CHECK(answer.verdict == "not_run");
    CHECK(arrivals(fleet) == 0);
}

TEST_CASE("a call is served late in a planned stop if others of its kind have been quick", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    const core::system_clock clock;
    for (int call = 0; call < 20; ++call) {
        REQUIRE(call_and_wait(fleet, request_for("/answer/1/10", 5s)).status == 200);
    }
    fleet.daemon(0).entry().end_calls_at(clock.now() + 500ms);
    CHECK(call_and_wait(fleet, request_for("/answer/1/10", 1min)).status == 200);
}

TEST_CASE("a call whose deadline comes before the end of its entry's process is sent", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    const core::system_clock clock;
    fleet.daemon(0).entry().end_calls_at(clock.now() + 900ms);
    const auto answer = call_and_wait(fleet, request_for("/answer/1/10", 500ms));
    CHECK(answer.status == 200);
}

TEST_CASE("a call isn't sent once more if the retry would likely outlast the process", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    const core::system_clock clock;
    caller_answer answer;
    bool ended = false;
    fleet.call(0, request_for("/answer/never", 1min), [&](caller_answer got) {
        answer = std::move(got);
        ended = true;
    });
    REQUIRE(fleet.run_until([&] { return arrivals(fleet) == 1; }));
    fleet.daemon(0).entry().end_calls_at(clock.now() + 500ms);
    fleet.daemon(0).entry().cancel_all_attempts();
    REQUIRE(fleet.run_until([&] { return ended; }));
    CHECK(answer.status == 504);
    CHECK(answer.verdict == "may_have_run");
    CHECK(arrivals(fleet) == 1);
}
