#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

TEST_CASE("no retry is charged when every endpoint was tried", "[retry_grant]") {
    struct grant_case {
        const char* what;
        const char* method;
        const char* key;
        std::uint64_t retries;
    };
    const grant_case cases[] = {
        {"both endpoints refused", "GET", "", 1},
        {"both endpoints refused a non-idempotent call without a key", "POST", "", 1},
        {"a keyed call is resent to the home of its key", "POST", "key-1", 2},
    };
    for (const auto& one : cases) {
        INFO(one.what);
        wired_fleet fleet({}, 1);
        std::optional<caller_answer> told;
        caller_request request;
        request.method = one.method;
        request.target = request.method == "GET" ? "/answer/1/10" : "/effect/1";
        request.key = one.key;
        fleet.call(0, request, [&](caller_answer answer) { told = std::move(answer); });
        REQUIRE(fleet.run_until([&] { return told.has_value(); }));
        CHECK(told->status == 503);
        CHECK(fleet.daemon(0).entry().counters().retries == one.retries);
    }
}
