#include "gate/backend_incarnations.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using effect = announcement_effect;

namespace {

constexpr std::uint64_t deregistered_ms = 5000;

/// State of a process that has loaded the earlier deregistrations, of which there are none.
backend_incarnations settled() {
    backend_incarnations lives;
    static_cast<void>(add_earlier_deregistrations(lives, {}));
    return lives;
}

} // namespace

TEST_CASE("a late heartbeat after a deregistration without start time does not restore service",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(on_ready_heartbeat(lives, {"a", 100, 20}, clock.now()) == effect::opens);
    CHECK(on_deregistration(lives, {"a", 0, deregistered_ms}) == effect::leaves);
    CHECK(lives.departed.front().started_ms == 100);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 21}, clock.now()) == effect::late);
    CHECK_FALSE(lives.serves);
    CHECK(on_deregistration(lives, {"a", 0, deregistered_ms + 10}) == effect::again);
    CHECK(lives.departed.size() == 1);
}

TEST_CASE("a process that received only the deregistration ignores a late heartbeat",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(on_deregistration(lives, {"a", 0, deregistered_ms}) == effect::leaves);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 21}, clock.now()) == effect::late);
    CHECK_FALSE(lives.serves);
}

TEST_CASE("the next incarnation serves after a deregistration, even under the same name",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    for (const std::uint64_t start_time : {0, 100}) {
        for (const std::string next : {"a", "b"}) {
            INFO(start_time << " " << next);
            auto lives = settled();
            CHECK(on_deregistration(lives, {"a", start_time, deregistered_ms}) == effect::leaves);
            CHECK(on_ready_heartbeat(lives, {next, deregistered_ms + 1, 1}, clock.now()) == effect::opens);
            CHECK(lives.serves);
            CHECK(on_ready_heartbeat(lives, {next, deregistered_ms + 1, 2}, clock.now()) == effect::again);
            CHECK(on_ready_heartbeat(lives, {"a", 100, 22}, clock.now()) == effect::late);
            CHECK(lives.serves);
        }
    }
}

TEST_CASE("a draining backend server gets no work, and its deregistration changes nothing more",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(on_ready_heartbeat(lives, {"a", 100, 1}, clock.now()) == effect::opens);
    CHECK(on_draining_heartbeat(lives, {"a", 100, 3}, deregistered_ms) == effect::leaves);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 2}, clock.now()) == effect::late);
    CHECK(on_draining_heartbeat(lives, {"a", 100, 4}, deregistered_ms) == effect::again);
    CHECK(on_deregistration(lives, {"a", 0, deregistered_ms}) == effect::again);
    CHECK_FALSE(lives.serves);
}

TEST_CASE("a late deregistration of an earlier incarnation does not stop the later one",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(on_ready_heartbeat(lives, {"b", 200, 1}, clock.now()) == effect::opens);
    CHECK(on_deregistration(lives, {"a", 100, deregistered_ms}) == effect::late);
    CHECK(on_draining_heartbeat(lives, {"a", 100, 9}, deregistered_ms) == effect::late);
    CHECK(lives.serves);
}

// Guards against an acknowledgement of a leaving that the daemon then ignores (DRAIN).
TEST_CASE("a draining heartbeat that is late has left only if the newest incarnation has another name",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(on_ready_heartbeat(lives, {"a", 200, 7}, clock.now()) == effect::opens);
    CHECK(on_draining_heartbeat(lives, {"a", 100, 9}, deregistered_ms) == effect::late);
    CHECK_FALSE(has_left(lives.departed, {"a", 100, 9}));
    CHECK(on_draining_heartbeat(lives, {"a", 200, 6}, deregistered_ms) == effect::late);
    CHECK_FALSE(has_left(lives.departed, {"a", 200, 6}));
    CHECK(on_draining_heartbeat(lives, {"b", 100, 9}, deregistered_ms) == effect::late);
    CHECK(has_left(lives.departed, {"b", 100, 9}));
    CHECK_FALSE(has_left(lives.departed, {"a", 200, 8}));
    CHECK(lives.serves);
}

TEST_CASE("a late heartbeat is ignored if an earlier process received the deregistration",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    for (const bool history_comes_first : {true, false}) {
        INFO("earlier deregistrations are known before the heartbeat: " << history_comes_first);
        backend_incarnations lives;
        if (history_comes_first) {
            CHECK(add_earlier_deregistrations(lives, {{"a", 100, deregistered_ms}}) == effect::again);
            CHECK(on_ready_heartbeat(lives, {"a", 100, 21}, clock.now()) == effect::late);
        } else {
            CHECK(on_ready_heartbeat(lives, {"a", 100, 21}, clock.now()) == effect::waits);
            CHECK(add_earlier_deregistrations(lives, {{"a", 100, deregistered_ms}}) == effect::again);
        }
        CHECK_FALSE(lives.serves);
        CHECK(on_ready_heartbeat(lives, {"a", 100, 22}, clock.now()) == effect::late);
        CHECK(on_draining_heartbeat(lives, {"a", 100, 23}, deregistered_ms) == effect::again);
        CHECK(on_ready_heartbeat(lives, {"b", 200, 1}, clock.now()) == effect::opens);
    }
}

TEST_CASE("an incarnation serves at once if only earlier incarnations or none have deregistered",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    for (const bool is_empty : {true, false}) {
        INFO("no earlier deregistration: " << is_empty);
        backend_incarnations lives;
        CHECK(on_ready_heartbeat(lives, {"b", 200, 5}, clock.now()) == effect::waits);
        std::vector<core::departed_incarnation> earlier_departures{{"a", 100, deregistered_ms}};
        earlier_departures.resize(is_empty ? 0 : 1);
        CHECK(add_earlier_deregistrations(lives, earlier_departures) == effect::opens);
        CHECK(on_ready_heartbeat(lives, {"b", 200, 6}, clock.now()) == effect::again);
        CHECK(lives.serves);
    }
}

TEST_CASE("an incarnation serves without the platform after two announcements far enough apart",
          "[backend_incarnations]") {
    testing::manual_clock clock;
    backend_incarnations lives;
    CHECK(on_ready_heartbeat(lives, {"a", 100, 5}, clock.now()) == effect::waits);
    clock.advance(min_confirmation_time / 2);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 6}, clock.now()) == effect::waits);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 5}, clock.now()) == effect::late);
    clock.advance(min_confirmation_time / 2);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 7}, clock.now()) == effect::opens);
    CHECK(lives.serves);
    CHECK(on_ready_heartbeat(lives, {"b", 200, 1}, clock.now()) == effect::opens);
}

TEST_CASE("a deregistration that the platform reports late ends service that began without it",
          "[backend_incarnations]") {
    testing::manual_clock clock;
    backend_incarnations lives;
    CHECK(on_ready_heartbeat(lives, {"a", 100, 20}, clock.now()) == effect::waits);
    clock.advance(min_confirmation_time);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 21}, clock.now()) == effect::opens);
    CHECK(add_earlier_deregistrations(lives, {{"a", 100, deregistered_ms}}) == effect::leaves);
    CHECK_FALSE(lives.serves);
    CHECK(on_ready_heartbeat(lives, {"a", 100, 22}, clock.now()) == effect::late);
}

TEST_CASE("a late first heartbeat is ignored if its incarnation has already deregistered",
          "[backend_incarnations]") {
    const testing::manual_clock clock;
    for (const bool has_left_before : {true, false}) {
        INFO("the previous incarnation had deregistered: " << has_left_before);
        auto lives = settled();
        CHECK(on_ready_heartbeat(lives, {"a", 100, 1}, clock.now()) == effect::opens);
        if (has_left_before) {
            CHECK(on_deregistration(lives, {"a", 0, deregistered_ms}) == effect::leaves);
        }
        CHECK(on_deregistration(lives, {"b", 0, deregistered_ms + 9}) == effect::late);
        CHECK(lives.serves != has_left_before);
        CHECK(on_ready_heartbeat(lives, {"b", deregistered_ms + 5, 1}, clock.now()) == effect::late);
        CHECK(on_ready_heartbeat(lives, {"c", deregistered_ms + 20, 1}, clock.now()) == effect::opens);
    }
}

TEST_CASE("deregistrations are stored once for each name and only for the last few names",
          "[backend_incarnations]") {
    auto lives = settled();
    CHECK(on_deregistration(lives, {"a", 100, deregistered_ms}) == effect::leaves);
    CHECK(on_deregistration(lives, {"a", 50, deregistered_ms}) == effect::again);
    CHECK(on_deregistration(lives, {"a", 0, deregistered_ms + 1}) == effect::again);
    CHECK(on_deregistration(lives, {"a", 200, deregistered_ms + 2}) == effect::leaves);
    REQUIRE(lives.departed.size() == 1);
    CHECK(lives.departed.front().started_ms == 200);
    for (std::uint64_t life = 0; life < 20; ++life) {
        static_cast<void>(on_deregistration(lives, {"b" + std::to_string(life), 0, deregistered_ms + life}));
    }
    CHECK(lives.departed.size() < 20);
    CHECK(lives.departed.back().id == "b19");
}
