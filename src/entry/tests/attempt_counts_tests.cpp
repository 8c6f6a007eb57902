#include "entry/internal/attempt_counts.h"

#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;
using entry::internal::attempt_counts;
using entry::internal::attempt_outcome_kind;

TEST_CASE("attempt outcomes are logged once per second, only for services with failures", "[entry]") {
    testing::manual_clock clock;
    testing::recording_log log;
    attempt_counts counts(log, clock);
    for (int call = 0; call < 3; ++call) {
        counts.count("board", attempt_outcome_kind::whole);
        counts.count("waves", attempt_outcome_kind::server_refused);
    }
    counts.count("waves", attempt_outcome_kind::whole);
    counts.count("waves", attempt_outcome_kind::withheld_call);
    CHECK(log.lines.empty());
    clock.advance(1s);
    counts.count("board", attempt_outcome_kind::late);
    REQUIRE(log.lines.size() == 1);
    auto& told = log.lines[0];
    CHECK(told.id == logging::event_id::attempts_counted);
    CHECK(told.fields["service"] == "waves");
    CHECK(told.fields["whole"] == "1");
    CHECK(told.fields["server_refused"] == "3");
    CHECK(told.fields["withheld_call"] == "1");
    CHECK(told.fields["gate_refused"] == "0");
    clock.advance(1s);
    counts.count("board", attempt_outcome_kind::whole);
    REQUIRE(log.lines.size() == 2);
    CHECK(log.lines[1].fields["service"] == "board");
    CHECK(log.lines[1].fields["late"] == "1");
}
