// Tests which calls are refused because the configuration in force may be outdated.
#include "entry/internal/freshness_check.h"
#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace monsoonlift::entry::internal;
using namespace std::chrono_literals;

namespace {

parsed_call call_with_key() {
    parsed_call call;
    call.needs_key = true;
    return call;
}

struct check_environment {
    std::optional<problem> refuse(const std::variant<parsed_call, problem>& parsed) {
        return begin_freshness_check(&proofs).refuse(parsed, 7, clock, log);
    }

    testing::manual_clock clock;
    testing::recording_log log;
    configuration::freshness_holder proofs{5s};
};

} // namespace

TEST_CASE("a call that needs a key is refused once the proof is older than the bound", "[entry]") {
    check_environment environment;
    environment.proofs.note({7, environment.clock.boot_now()});
    environment.clock.advance(5s);
    CHECK_FALSE(environment.refuse(call_with_key()));
    environment.clock.advance(1234ms);
    const auto refused = environment.refuse(call_with_key());
    REQUIRE(refused);
    CHECK(refused->status == 503);
    CHECK(refused->run == core::verdict::not_run);
    CHECK(refused->type == "configuration-outdated");
    CHECK(refused->detail.find("6234 ms ago") != std::string::npos);
    CHECK(refused->retry_after);
    CHECK(environment.proofs.refused() == 1);
}

TEST_CASE("the time of a suspension counts", "[entry]") {
    check_environment environment;
    environment.proofs.note({7, environment.clock.boot_now()});
    environment.clock.suspend(6s);
    CHECK(environment.refuse(call_with_key()));
}

TEST_CASE("before the first proof calls that need a key are refused", "[entry]") {
    check_environment environment;
    CHECK(environment.refuse(call_with_key()));
}

TEST_CASE("calls that need no key are served without a proof", "[entry]") {
    check_environment environment;
    CHECK_FALSE(environment.refuse(parsed_call()));
    auto nested = call_with_key();
    nested.parent.emplace();
    CHECK_FALSE(environment.refuse(nested));
    CHECK_FALSE(environment.refuse(problem{404, core::verdict::not_run, "unknown", "", "", {}}));
}

// Guards against a caller with a new key that is told that its key is unknown.
TEST_CASE("a key that an outdated configuration does not hold is not refused as unknown", "[entry]") {
    check_environment environment;
    const problem unknown{401, core::verdict::not_run, "unknown-key", "", "", {}};
    const auto refused = environment.refuse(unknown);
    REQUIRE(refused);
    CHECK(refused->status == 503);
    environment.proofs.note({7, environment.clock.boot_now()});
    CHECK_FALSE(environment.refuse(unknown));
}

// Guards against a call that is judged by the configuration before a proof about the next one.
TEST_CASE("a proof that arrives after the check began does not count for the call", "[entry]") {
    check_environment environment;
    environment.proofs.note({7, environment.clock.boot_now()});
    environment.clock.advance(6s);
    const auto begun = begin_freshness_check(&environment.proofs);
    environment.proofs.note({8, environment.clock.boot_now()});
    CHECK(begun.refuse(call_with_key(), 7, environment.clock, environment.log));
}

TEST_CASE("without the setting nothing is checked", "[entry]") {
    check_environment environment;
    CHECK_FALSE(
        begin_freshness_check(nullptr).refuse(call_with_key(), 7, environment.clock, environment.log));
}
