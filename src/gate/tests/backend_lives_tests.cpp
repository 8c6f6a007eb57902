#include "gate/backend_lives.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using effect = announcement_effect;

namespace {

constexpr std::uint64_t farewell_ms = 5000;

/// A process that knows what earlier ones heard.
backend_lives settled() {
    backend_lives lives;
    static_cast<void>(learn_past(lives, {}));
    return lives;
}

} // namespace

TEST_CASE("a late heartbeat after a farewell without start time opens no gate", "[backend_lives]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(hear_ready(lives, {"a", 100, 20}, clock.now()) == effect::opens);
    CHECK(hear_farewell(lives, {"a", 0, farewell_ms}) == effect::leaves);
    CHECK(lives.departed.front().started_ms == 100);
    CHECK(hear_ready(lives, {"a", 100, 21}, clock.now()) == effect::late);
    CHECK_FALSE(lives.serves);
    CHECK(hear_farewell(lives, {"a", 0, farewell_ms + 10}) == effect::again);
    CHECK(lives.departed.size() == 1);
}

TEST_CASE("a late heartbeat opens no gate of a process that was told only the farewell", "[backend_lives]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(hear_farewell(lives, {"a", 0, farewell_ms}) == effect::leaves);
    CHECK(hear_ready(lives, {"a", 100, 21}, clock.now()) == effect::late);
    CHECK_FALSE(lives.serves);
}

TEST_CASE("the next life serves after a farewell, also under the same name", "[backend_lives]") {
    const testing::manual_clock clock;
    for (const std::uint64_t told_start : {0, 100}) {
        for (const std::string next : {"a", "b"}) {
            INFO(told_start << " " << next);
            auto lives = settled();
            CHECK(hear_farewell(lives, {"a", told_start, farewell_ms}) == effect::leaves);
            CHECK(hear_ready(lives, {next, farewell_ms + 1, 1}, clock.now()) == effect::opens);
            CHECK(lives.serves);
            CHECK(hear_ready(lives, {next, farewell_ms + 1, 2}, clock.now()) == effect::again);
            CHECK(hear_ready(lives, {"a", 100, 22}, clock.now()) == effect::late);
            CHECK(lives.serves);
        }
    }
}

TEST_CASE("a server that drains gets no work, and its farewell says nothing new", "[backend_lives]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(hear_ready(lives, {"a", 100, 1}, clock.now()) == effect::opens);
    CHECK(hear_draining(lives, {"a", 100, 3}, farewell_ms) == effect::leaves);
    CHECK(hear_ready(lives, {"a", 100, 2}, clock.now()) == effect::late);
    CHECK(hear_draining(lives, {"a", 100, 4}, farewell_ms) == effect::again);
    CHECK(hear_farewell(lives, {"a", 0, farewell_ms}) == effect::again);
    CHECK_FALSE(lives.serves);
}

TEST_CASE("a farewell of an earlier life leaves the later one at work", "[backend_lives]") {
    const testing::manual_clock clock;
    auto lives = settled();
    CHECK(hear_ready(lives, {"b", 200, 1}, clock.now()) == effect::opens);
    CHECK(hear_farewell(lives, {"a", 100, farewell_ms}) == effect::late);
    CHECK(hear_draining(lives, {"a", 100, 9}, farewell_ms) == effect::late);
    CHECK(lives.serves);
}

TEST_CASE("a farewell that an earlier process heard shuts out its late heartbeat", "[backend_lives]") {
    const testing::manual_clock clock;
    for (const bool past_comes_first : {true, false}) {
        INFO("the past is known before the heartbeat: " << past_comes_first);
        backend_lives lives;
        if (past_comes_first) {
            CHECK(learn_past(lives, {{"a", 100, farewell_ms}}) == effect::again);
            CHECK(hear_ready(lives, {"a", 100, 21}, clock.now()) == effect::late);
        } else {
            CHECK(hear_ready(lives, {"a", 100, 21}, clock.now()) == effect::waits);
            CHECK(learn_past(lives, {{"a", 100, farewell_ms}}) == effect::again);
        }
        CHECK_FALSE(lives.serves);
        CHECK(hear_ready(lives, {"a", 100, 22}, clock.now()) == effect::late);
        CHECK(hear_draining(lives, {"a", 100, 23}, farewell_ms) == effect::again);
        CHECK(hear_ready(lives, {"b", 200, 1}, clock.now()) == effect::opens);
    }
}

TEST_CASE("a life serves at once when the past tells of none or of an earlier one", "[backend_lives]") {
    const testing::manual_clock clock;
    for (const bool is_empty : {true, false}) {
        INFO("there was no farewell: " << is_empty);
        backend_lives lives;
        CHECK(hear_ready(lives, {"b", 200, 5}, clock.now()) == effect::waits);
        std::vector<core::departed_life> past{{"a", 100, farewell_ms}};
        past.resize(is_empty ? 0 : 1);
        CHECK(learn_past(lives, past) == effect::opens);
        CHECK(hear_ready(lives, {"b", 200, 6}, clock.now()) == effect::again);
        CHECK(lives.serves);
    }
}

TEST_CASE("a life serves without the platform once it has proved that it lives", "[backend_lives]") {
    testing::manual_clock clock;
    backend_lives lives;
    CHECK(hear_ready(lives, {"a", 100, 5}, clock.now()) == effect::waits);
    clock.advance(proof_of_life / 2);
    CHECK(hear_ready(lives, {"a", 100, 6}, clock.now()) == effect::waits);
    CHECK(hear_ready(lives, {"a", 100, 5}, clock.now()) == effect::late);
    clock.advance(proof_of_life / 2);
    CHECK(hear_ready(lives, {"a", 100, 7}, clock.now()) == effect::opens);
    CHECK(lives.serves);
    CHECK(hear_ready(lives, {"b", 200, 1}, clock.now()) == effect::opens);
}

TEST_CASE("the platform's word of a farewell shuts a gate that opened without it", "[backend_lives]") {
    testing::manual_clock clock;
    backend_lives lives;
    CHECK(hear_ready(lives, {"a", 100, 20}, clock.now()) == effect::waits);
    clock.advance(proof_of_life);
    CHECK(hear_ready(lives, {"a", 100, 21}, clock.now()) == effect::opens);
    CHECK(learn_past(lives, {{"a", 100, farewell_ms}}) == effect::leaves);
    CHECK_FALSE(lives.serves);
    CHECK(hear_ready(lives, {"a", 100, 22}, clock.now()) == effect::late);
}

TEST_CASE("a farewell of a life that had announced nothing yet shuts out its late heartbeat",
          "[backend_lives]") {
    const testing::manual_clock clock;
    for (const bool has_left_before : {true, false}) {
        INFO("the life before it had left: " << has_left_before);
        auto lives = settled();
        CHECK(hear_ready(lives, {"a", 100, 1}, clock.now()) == effect::opens);
        if (has_left_before) {
            CHECK(hear_farewell(lives, {"a", 0, farewell_ms}) == effect::leaves);
        }
        CHECK(hear_farewell(lives, {"b", 0, farewell_ms + 9}) == effect::late);
        CHECK(lives.serves != has_left_before);
        CHECK(hear_ready(lives, {"b", farewell_ms + 5, 1}, clock.now()) == effect::late);
        CHECK(hear_ready(lives, {"c", farewell_ms + 20, 1}, clock.now()) == effect::opens);
    }
}

TEST_CASE("farewells of one name are one, and the last few names are remembered", "[backend_lives]") {
    auto lives = settled();
    CHECK(hear_farewell(lives, {"a", 100, farewell_ms}) == effect::leaves);
    CHECK(hear_farewell(lives, {"a", 50, farewell_ms}) == effect::again);
    CHECK(hear_farewell(lives, {"a", 0, farewell_ms + 1}) == effect::again);
    CHECK(hear_farewell(lives, {"a", 200, farewell_ms + 2}) == effect::leaves);
    REQUIRE(lives.departed.size() == 1);
    CHECK(lives.departed.front().started_ms == 200);
    for (std::uint64_t life = 0; life < 20; ++life) {
        static_cast<void>(hear_farewell(lives, {"b" + std::to_string(life), 0, farewell_ms + life}));
    }
    CHECK(lives.departed.size() < 20);
    CHECK(lives.departed.back().id == "b19");
}
