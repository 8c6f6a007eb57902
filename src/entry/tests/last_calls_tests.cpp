// Guards against calls that a process takes, or sends on once more, in the last moments before it ends
// (LOST).
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

TEST_CASE("an entry whose process is about to end sends no attempt once more", "[last_calls]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    const auto arrivals = [&] {
        return fleet.daemon(0).gate_totals().arrived + fleet.daemon(1).gate_totals().arrived;
    };
    caller_request request;
    request.target = "/answer/never";
    request.patience = std::chrono::minutes(1);
    caller_answer answer;
    bool ended = false;
    fleet.call(0, request, [&](caller_answer got) {
        answer = std::move(got);
        ended = true;
    });
    REQUIRE(fleet.run_until([&] { return arrivals() == 1; }));
    fleet.daemon(0).entry().refuse_all_calls();
    fleet.daemon(0).entry().cancel_all_attempts();
    REQUIRE(fleet.run_until([&] { return ended; }));
    CHECK(answer.whole);
    CHECK(answer.status == 504);
    CHECK(answer.verdict == "may_have_run");
    CHECK(arrivals() == 1);
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
