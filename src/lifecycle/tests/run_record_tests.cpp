// Guards against stops that outlast their bound because the signal was taken late (LOST).
#include "lifecycle/run_record.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::lifecycle;
using namespace std::chrono_literals;

namespace {

/// A strand that has had turns at regular intervals.
run_record regular_record(testing::manual_clock& clock) {
    auto record = begin_record(clock.now());
    for (int turn = 0; turn < 10; ++turn) {
        clock.advance(turn_interval);
        note_turn(record, clock.now());
    }
    return record;
}

} // namespace

TEST_CASE("a signal that is taken at the start or between regular turns has just arrived", "[run_record]") {
    testing::manual_clock clock;
    const auto first = begin_record(clock.now());
    CHECK(earliest_arrival(first, clock.now()) == clock.now());
    const auto record = regular_record(clock);
    clock.advance(turn_interval);
    CHECK(earliest_arrival(record, clock.now()) == clock.now());
}

TEST_CASE("a signal that is taken before the first turn after a pause may have waited for all of it",
          "[run_record]") {
    testing::manual_clock clock;
    const auto record = regular_record(clock);
    const auto before = clock.now();
    clock.advance(3s);
    CHECK(earliest_arrival(record, clock.now()) == before);
}

TEST_CASE("a signal that is taken right after the first turn after a pause may have waited for all of it",
          "[run_record]") {
    testing::manual_clock clock;
    auto record = regular_record(clock);
    const auto before = clock.now();
    clock.advance(3s);
    note_turn(record, clock.now());
    clock.advance(turn_interval - 1ns);
    CHECK(earliest_arrival(record, clock.now()) == before);
}

TEST_CASE("a signal that is taken later after a pause did not wait for it", "[run_record]") {
    testing::manual_clock clock;
    auto record = regular_record(clock);
    clock.advance(3s);
    note_turn(record, clock.now());
    clock.advance(turn_interval);
    note_turn(record, clock.now());
    CHECK(earliest_arrival(record, clock.now()) == clock.now());
}
