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
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        wired_fleet fleet({}, 1);
        std::optional<caller_answer> received;
        caller_request request;
        request.method = test_case.method;
        request.target = request.method == "GET" ? "/answer/1/10" : "/effect/1";
        request.key = test_case.key;
        fleet.call(0, request, [&](caller_answer answer) { received = std::move(answer); });
        REQUIRE(fleet.run_until([&] { return received.has_value(); }));
        CHECK(received->status == 503);
        CHECK(fleet.daemon(0).entry().counters().retries == test_case.retries);
    }
}
