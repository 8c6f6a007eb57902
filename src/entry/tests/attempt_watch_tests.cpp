// Guards against work that a belief about a peer ends, and against calls that wait for a gate that is gone.
#include "entry/attempt_watch.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace std::chrono_literals;

namespace {

constexpr core::steady_time start{1h};
constexpr core::steady_time deadline = start + 5s;

} // namespace

TEST_CASE("an attempt that can't be repeated waits for its deadline, whatever membership says",
          "[attempt_watch]") {
    attempt_watch watch;
    CHECK_FALSE(note_doubt(watch, false, start));
    CHECK(wait_until(watch, deadline) == deadline);
    CHECK_FALSE(is_given_up(watch, deadline));
}

TEST_CASE("a doubted gate is asked once and has some time to reply", "[attempt_watch]") {
    attempt_watch watch;
    CHECK(note_doubt(watch, true, start));
    CHECK_FALSE(note_doubt(watch, true, start + 1ms));
    CHECK(wait_until(watch, deadline) == start + gate_reply_timeout);
    CHECK_FALSE(is_given_up(watch, start + gate_reply_timeout - 1ns));
    CHECK(is_given_up(watch, start + gate_reply_timeout));
}

TEST_CASE("any frame of the attempt keeps it, and a later doubt asks again", "[attempt_watch]") {
    attempt_watch watch;
    CHECK(note_doubt(watch, true, start));
    note_frame(watch, start);
    CHECK_FALSE(is_given_up(watch, start + 1min));
    CHECK(wait_until(watch, deadline) == deadline);
    CHECK(note_doubt(watch, true, start + 2s));
    CHECK(is_given_up(watch, start + 2s + gate_reply_timeout));
}

TEST_CASE("an attempt waits no longer than its deadline", "[attempt_watch]") {
    attempt_watch watch;
    CHECK(note_doubt(watch, true, deadline - 10ms));
    CHECK(wait_until(watch, deadline) == deadline);
}

TEST_CASE("what an earlier process of a gate has sent is lost once a later one is known", "[attempt_watch]") {
    attempt_watch watch;
    note_replaced(watch, start);
    CHECK_FALSE(note_doubt(watch, true, start));
    CHECK_FALSE(is_given_up(watch, start + last_frames_timeout - 1ns));
    note_frame(watch, start + 100ms);
    CHECK_FALSE(is_given_up(watch, start + last_frames_timeout));
    CHECK(is_given_up(watch, start + 100ms + last_frames_timeout));
}
