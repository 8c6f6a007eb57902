#include "gate/running_requests.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::gate;

namespace {

context_token token_of(std::uint64_t run) {
    context_token token;
    token.run = run;
    return token;
}

} // namespace

TEST_CASE("a nested call is attributed to the running request with the longest matching name",
          "[running_requests]") {
    running_requests running;
    running.begin("a1", token_of(1));
    running.begin("a1.b2", token_of(2));
    CHECK(running.find_parent("a1.x")->run == 1);
    CHECK(running.find_parent("a1.b2.x")->run == 2);
    CHECK(running.find_parent("a1.c.x")->run == 1);
    CHECK_FALSE(running.find_parent("a1"));
    CHECK_FALSE(running.find_parent("a12.x"));
    CHECK_FALSE(running.find_parent("z.a1.x"));
    CHECK_FALSE(running.find_parent(""));
    CHECK_FALSE(running.find_parent("."));
}

TEST_CASE("no nested call is attributed to a request that has ended", "[running_requests]") {
    running_requests running;
    running.begin("a1", token_of(1));
    running.begin("a1", token_of(7));
    running.end("a1", 1);
    REQUIRE(running.find_parent("a1.x"));
    CHECK(running.find_parent("a1.x")->run == 7);
    running.end("a1", 7);
    CHECK_FALSE(running.find_parent("a1.x"));
    running.end("never", 3);
}
