#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

TEST_CASE("no retry is spent when no endpoint is left that could take it", "[retry_grant]") {
    struct grant_case {
        const char* what;
        const char* method;
        const char* key;
        std::uint64_t retries;
    };
    const grant_case cases[] = {
        {"both endpoints refused", "GET", "", 1},
        {"both endpoints refused, and nothing tells what ran", "POST", "", 1},
        {"a key goes to its home again", "POST", "key-1", 2},
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
