// Guards against refusing a call at once while all backend servers of its service are briefly unreachable.
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

membership::member record_of(wired_daemon& one, membership::member_status status) {
    membership::member known;
    known.id = one.id();
    known.service = "mappa";
    known.data_centre = "palermo";
    known.status = status;
    return known;
}

void report_status(wired_fleet& fleet, membership::member_status status) {
    for (const std::size_t index : {0, 1}) {
        fleet.daemon(0).entry().member_changed(record_of(fleet.daemon(index), status));
    }
}

struct waiting_case {
    const char* what;
    membership::member_status before;
    const char* method;
    const char* target;
    const char* key;
};

const waiting_case waiting_cases[] = {
    {"a lookup while all are suspected", membership::member_status::suspect, "GET", "/answer/1/10", ""},
    {"a lookup while all count as dead", membership::member_status::dead, "GET", "/answer/1/10", ""},
    {"a keyed dispatch while all count as dead", membership::member_status::dead, "POST", "/effect/1", "k"},
    {"a dispatch without key while all are suspected", membership::member_status::suspect, "POST",
     "/effect/1", ""},
};

caller_request request_of(const waiting_case& wanted, std::chrono::milliseconds patience) {
    caller_request request;
    request.method = wanted.method;
    request.target = wanted.target;
    request.key = wanted.key;
    request.body = request.method == "POST" ? "crew=7" : "";
    request.patience = patience;
    return request;
}

} // namespace

TEST_CASE("a call waits for a backend server that becomes reachable again", "[route_patience]") {
    for (const auto& wanted : waiting_cases) {
        CAPTURE(wanted.what);
        wired_fleet fleet({}, 1);
        for (const std::size_t index : {0, 1}) {
            fleet.daemon(index).announce();
        }
        report_status(fleet, wanted.before);
        std::optional<caller_answer> got;
        fleet.call(0, request_of(wanted, 60s), [&](caller_answer answer) { got = std::move(answer); });
        REQUIRE(fleet.run_until([&] { return got || fleet.daemon(0).entry().counters().in_flight == 1; }));
        REQUIRE_FALSE(got);
        report_status(fleet, membership::member_status::alive);
        REQUIRE(fleet.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 200);
        CHECK(got->verdict == "ran");
    }
}

TEST_CASE("a call whose deadline passes while no backend server is reachable is refused",
          "[route_patience]") {
    for (const auto& wanted : waiting_cases) {
        CAPTURE(wanted.what);
        wired_fleet fleet({}, 1);
        for (const std::size_t index : {0, 1}) {
            fleet.daemon(index).announce();
        }
        report_status(fleet, wanted.before);
        std::optional<caller_answer> got;
        fleet.call(0, request_of(wanted, 100ms), [&](caller_answer answer) { got = std::move(answer); });
        REQUIRE(fleet.run_until([&] { return got.has_value(); }));
        CHECK(got->status == 503);
        CHECK(got->verdict == (std::string(wanted.key).empty() ? "not_run" : "may_have_run"));
        CHECK(fleet.runs(wanted.target) == 0);
    }
}
