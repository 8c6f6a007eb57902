#include "gate/context_token.h"
#include "gate/nested_budgets.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;

TEST_CASE("nested calls share one budget and close() returns what they spent", "[gate]") {
    nested_budgets budgets;
    budgets.open(1, 2);
    REQUIRE(budgets.reserve(1) == 2);
    REQUIRE(budgets.reserve(1) == 0);
    budgets.give_back(1, 1, 1);
    REQUIRE(budgets.reserve(1) == 1);
    budgets.give_back(1, 0, 1);
    REQUIRE(budgets.close(1) == 2);
    REQUIRE(budgets.reserve(1) == 0);
    REQUIRE_FALSE(budgets.is_open(1));
}

TEST_CASE("a run doesn't tell how many calls it has made, or that it is a repeat", "[gate]") {
    nested_budgets budgets;
    budgets.open(1, 2, true);
    CHECK(budgets.progress(1).is_repeat);
    static_cast<void>(budgets.reserve(1));
    CHECK(budgets.progress(1).calls_begun == 1);
    CHECK(budgets.progress(1).calls_ended == 0);
    budgets.give_back(1, 2, 0);
    CHECK(budgets.progress(1).calls_ended == 1);
    static_cast<void>(budgets.close(1));
    CHECK(budgets.progress(1).calls_begun == 0);
    budgets.open(2, 2);
    CHECK_FALSE(budgets.progress(2).is_repeat);
}

TEST_CASE("concurrent reservations never exceed the budget", "[gate][threads]") {
    nested_budgets budgets;
    budgets.open(1, 100);
    std::atomic<std::uint32_t> spent = 0;
    std::vector<std::thread> threads;
    for (int index = 0; index < 4; ++index) {
        threads.emplace_back([&] {
            for (int turn = 0; turn < 1000; ++turn) {
                const auto got = budgets.reserve(1);
                const auto used = got > 0 ? 1U : 0U;
                spent += used;
                budgets.give_back(1, got - used, used);
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    REQUIRE(spent <= 100);
    REQUIRE(budgets.close(1) == spent);
}

TEST_CASE("a context token is parsed from its own text, and malformed text is rejected", "[gate]") {
    context_token token;
    token.root.bytes[15] = 0xab;
    token.depth = 4;
    token.rank = 2;
    token.deadline = core::steady_time(std::chrono::microseconds(123456));
    token.run = 17;
    token.issuer = {UINT64_MAX};
    const auto text = to_string(token);
    const auto read = parse_context_token(text);
    REQUIRE(read);
    REQUIRE(read->root == token.root);
    REQUIRE(read->deadline == token.deadline);
    REQUIRE(read->issuer == token.issuer);
    for (const std::string& wrong :
         {std::string(), text + ".1", text + "x", text.substr(1), "." + text, std::string(".....")}) {
        INFO(wrong);
        REQUIRE_FALSE(parse_context_token(wrong));
    }
}

namespace {

run_origin origin_of_kind(const std::string& kind) {
    run_origin origin;
    origin.kind = kind;
    return origin;
}

} // namespace

TEST_CASE("a gate does not learn where the runs of a kind lead, or learns it for runs of no known kind",
          "[nested_budgets]") {
    const monsoonlift::core::steady_time now{std::chrono::hours(1)};
    const monsoonlift::admission::shed_level strict{1, 40};
    nested_budgets budgets;
    budgets.open(1, 0, false, origin_of_kind("lookup"));
    budgets.open(2, 0);
    budgets.note_called(1, "baggage", strict, now);
    budgets.note_called(2, "fares", {0, 3}, now);
    REQUIRE(budgets.level_below("lookup", now) == strict);
    REQUIRE(budgets.level_below("", now) == monsoonlift::admission::shed_level{});
    REQUIRE(budgets.level_below("lookup", now + std::chrono::seconds(2)) ==
            monsoonlift::admission::shed_level{});
}

TEST_CASE("a request is known with its account while it runs, so that no caller can claim another") {
    const testing::manual_clock clock;
    tests::gate_fixture fixture(clock);
    fixture.announce("first");
    auto frame = tests::request_frame(1, clock.now() + std::chrono::seconds(1));
    auto& context = std::get<transport::request_head>(frame.payload).context;
    context.account = "school";
    context.rank = 2;
    context.depth = 3;
    context.position = 17;
    fixture.service.received(std::move(frame));
    std::optional<run_origin> known;
    constexpr std::uint64_t most_runs = 16;
    const auto is_known = [&] {
        for (std::uint64_t run = 0; run < most_runs && !known; ++run) {
            known = fixture.budgets.origin(run);
        }
        return known.has_value();
    };
    REQUIRE(fixture.run_until(is_known));
    CHECK(known->account == "school");
    CHECK(known->rank == 2);
    CHECK(known->depth == 3);
    CHECK(known->position == 17);
    auto connection = fixture.accept();
    REQUIRE(fixture.read_request(connection));
    connection.close();
    REQUIRE(fixture.run_until_idle());
    for (std::uint64_t run = 0; run < most_runs; ++run) {
        CHECK_FALSE(fixture.budgets.origin(run));
    }
}
