#include "retry/retry_budget.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace monsoonlift::retry;
using namespace std::chrono_literals;
using monsoonlift::core::call_context;
using monsoonlift::core::steady_time;
using monsoonlift::core::verdict;

namespace {

const steady_time now{1h};

call_context idempotent_call(std::uint32_t attempts_left, std::chrono::milliseconds left = 10s) {
    call_context context;
    context.idempotent = true;
    context.attempts_left = attempts_left;
    context.deadline = now + left;
    return context;
}

/// Simulates a call chain in which every attempt at the deepest hop fails and every hop retries as often as
/// its budget allows. Returns the number of attempts at the deepest hop and adds the attempts spent to
/// `spent`.
std::uint32_t attempts_at_deepest(call_context context, std::uint32_t hops_below, std::uint32_t& spent,
                                  bool counts_are_lost) {
    if (hops_below == 0) {
        return 1;
    }
    ratio_state unlimited{0, 1e9, 1e9};
    random_engine random(1);
    std::uint32_t attempts = 0;
    attempt_outcome outcome;
    outcome.run = verdict::may_have_run;
    do {
        call_context nested = context;
        nested.attempts_left = lend(context);
        ++nested.depth;
        std::uint32_t spent_below = 0;
        attempts += attempts_at_deepest(nested, hops_below - 1, spent_below, counts_are_lost);
        settle(context, nested.attempts_left,
               counts_are_lost ? std::nullopt : std::optional<std::uint32_t>(spent_below));
        spent += spent_below + 1;
    } while (next_attempt(unlimited, context, outcome, random, now));
    --spent;
    return attempts;
}

/// First calls and retries of one service in one step of a played load.
struct played_step {
    int firsts = 0;
    int repeats = 0;
};

/// Plays a service that refuses every attempt from `trouble` on, unrun, to one daemon with `firsts` first
/// calls in each 100 ms; after `trouble` with `firsts_in_trouble`. All calls are retried as often as the
/// budget allows.
std::vector<played_step> play_refusals(leaf_budget& state, std::size_t steps, std::size_t trouble, int firsts,
                                       int firsts_in_trouble, std::uint32_t calls_ended) {
    random_engine random(1);
    std::vector<played_step> played(steps);
    for (std::size_t step = 0; step < steps; ++step) {
        const auto at = now + step * 100ms;
        played[step].firsts = step < trouble ? firsts : firsts_in_trouble;
        for (int call = 0; call < played[step].firsts; ++call) {
            record_first_attempt(state, at);
            auto context = idempotent_call(0);
            context.deadline = at + 10s;
            while (step >= trouble && next_attempt(state, context, {}, calls_ended, random, at)) {
                ++played[step].repeats;
            }
        }
    }
    return played;
}

/// Returns the sum over ten seconds from a step on.
played_step sum_of_window(const std::vector<played_step>& played, std::size_t from) {
    played_step sum;
    for (std::size_t step = from; step < std::min(from + 100, played.size()); ++step) {
        sum.firsts += played[step].firsts;
        sum.repeats += played[step].repeats;
    }
    return sum;
}

} // namespace

TEST_CASE("retries out of the budget of a service exceed twice its ratio in some window", "[retry]") {
    struct load_case {
        int firsts;
        int firsts_in_trouble;
    };
    for (const auto& [firsts, firsts_in_trouble] :
         {load_case{100, 100}, load_case{100, 10}, load_case{10, 100}}) {
        leaf_budget state;
        const auto played = play_refusals(state, 600, 300, firsts, firsts_in_trouble, 4);
        for (std::size_t from = 100; from + 100 <= played.size(); ++from) {
            const auto in_window = sum_of_window(played, from);
            const int most = std::max(in_window.firsts, sum_of_window(played, from - 100).firsts);
            CAPTURE(firsts, firsts_in_trouble, from);
            REQUIRE(in_window.repeats <= 0.15 * most + state.burst);
        }
    }
}

TEST_CASE("what calls earned in a calm is lost to the trouble after it", "[retry]") {
    leaf_budget state;
    const auto played = play_refusals(state, 400, 300, 100, 10, 4);
    const auto in_trouble = sum_of_window(played, 300);
    CHECK(in_trouble.repeats >= in_trouble.firsts / 3);
}

TEST_CASE("calls at the beginning of a series use up the retries for those at its end", "[retry]") {
    leaf_budget state;
    static_cast<void>(play_refusals(state, 310, 300, 100, 100, 0));
    CHECK_FALSE(may_retry(state, 0));
    CHECK(may_retry(state, 4));
    CHECK(state.tokens > 40);
}

TEST_CASE("repeats that another budget allowed are retried again out of the budget of the service",
          "[retry]") {
    leaf_budget state;
    random_engine random(1);
    auto context = idempotent_call(0);
    for (int repeat = 0; repeat < 20; ++repeat) {
        charge(state);
    }
    CHECK_FALSE(next_attempt(state, context, {}, 4, random, now));
    for (int call = 0; call < 100; ++call) {
        record_first_attempt(state, now);
    }
    CHECK_FALSE(next_attempt(state, context, {}, 4, random, now));
}

TEST_CASE("a retry out of the budget of a service is allowed though the attempt may have run", "[retry]") {
    for (const auto run : {verdict::may_have_run, verdict::ran}) {
        leaf_budget state;
        random_engine random(1);
        attempt_outcome outcome;
        outcome.run = run;
        CHECK_FALSE(next_attempt(state, idempotent_call(1), outcome, 4, random, now));
        CHECK(state.tokens == 10);
    }
}

TEST_CASE("a call is retried although its verdict forbids it", "[retry]") {
    struct verdict_case {
        verdict run;
        bool idempotent;
        bool retried;
    };
    const verdict_case cases[] = {
        {verdict::not_run, false, true},       {verdict::not_run, true, true},
        {verdict::may_have_run, false, false}, {verdict::may_have_run, true, true},
        {verdict::ran, false, false},          {verdict::ran, true, false},
    };
    for (const auto& tried : cases) {
        ratio_state state;
        random_engine random(1);
        auto context = idempotent_call(1);
        context.idempotent = tried.idempotent;
        attempt_outcome outcome;
        outcome.run = tried.run;
        REQUIRE(next_attempt(state, context, outcome, random, now).has_value() == tried.retried);
        REQUIRE(context.attempts_left == (tried.retried ? 0 : 1));
        REQUIRE(state.tokens == (tried.retried ? 9 : 10));
    }
}

TEST_CASE("a call is retried beyond its budget or its deadline", "[retry]") {
    struct bound_case {
        std::uint32_t attempts_left;
        double tokens;
        std::chrono::milliseconds left;
        std::chrono::milliseconds typical_service;
        std::optional<std::chrono::milliseconds> retry_after;
        bool retried;
    };
    const bound_case cases[] = {
        {1, 1, 1000ms, 10ms, {}, true},       {0, 10, 1000ms, 10ms, {}, false},
        {2, 0.9, 1000ms, 10ms, {}, false},    {2, 10, 50ms, 60ms, {}, false},
        {2, 10, 1000ms, 10ms, 500ms, true},   {2, 10, 1000ms, 10ms, 2000ms, false},
        {2, 10, 1000ms, 600ms, 500ms, false},
    };
    for (const auto& tried : cases) {
        ratio_state state{0.1, tried.tokens, 10};
        random_engine random(1);
        auto context = idempotent_call(tried.attempts_left, tried.left);
        attempt_outcome outcome;
        outcome.typical_service = tried.typical_service;
        outcome.retry_after = tried.retry_after;
        const auto delay = next_attempt(state, context, outcome, random, now);
        REQUIRE(delay.has_value() == tried.retried);
        if (delay && tried.retry_after) {
            REQUIRE(*delay >= *tried.retry_after);
        }
    }
}

TEST_CASE("refusals by gates use up the retries for refusals by backend servers", "[retry]") {
    auto budgets = make_retry_budgets(10);
    random_engine random(1);
    attempt_outcome shed;
    shed.reached_server = false;
    for (int call = 0; call < 100; ++call) {
        auto context = idempotent_call(0);
        static_cast<void>(next_attempt(bucket_for(budgets, false), context, shed, random, now));
    }
    CHECK(budgets.resends.tokens < 1);
    auto context = idempotent_call(1);
    const attempt_outcome refused_by_server;
    CHECK(next_attempt(bucket_for(budgets, true), context, refused_by_server, random, now));
    CHECK(context.attempts_left == 0);
}

TEST_CASE("resends of requests that reached no server exceed their share of the first attempts", "[retry]") {
    auto budgets = make_retry_budgets(10);
    random_engine random(1);
    attempt_outcome shed;
    shed.reached_server = false;
    int resent = 0;
    constexpr int calls = 10'000;
    for (int call = 0; call < calls; ++call) {
        record_first_attempt(budgets);
        auto context = idempotent_call(4);
        while (next_attempt(bucket_for(budgets, false), context, shed, random, now)) {
            ++resent;
        }
        CHECK(context.attempts_left == 4);
    }
    CHECK(resent <= calls / 4 + 10);
    CHECK(budgets.repeats.tokens == 10);
}

TEST_CASE("retry delays are not spread over a range that doubles per attempt", "[retry]") {
    random_engine random(1);
    for (const std::uint32_t attempt : {0U, 1U, 2U, 3U}) {
        std::chrono::nanoseconds longest{0};
        std::chrono::nanoseconds shortest = 1h;
        for (int index = 0; index < 1000; ++index) {
            ratio_state state;
            auto context = idempotent_call(1);
            attempt_outcome outcome;
            outcome.attempt = attempt;
            const auto delay = next_attempt(state, context, outcome, random, now);
            longest = std::max(longest, *delay);
            shortest = std::min(shortest, *delay);
        }
        REQUIRE(longest <= 10ms * (1 << attempt));
        REQUIRE(longest > 9ms * (1 << attempt));
        REQUIRE(shortest < 1ms * (1 << attempt));
    }
}

TEST_CASE("retries of several hops multiply beyond the budget of the root call", "[retry]") {
    for (const bool counts_are_lost : {false, true}) {
        for (const std::uint32_t budget : {0U, 1U, 2U, 5U}) {
            for (const std::uint32_t hops : {1U, 5U, 29U}) {
                std::uint32_t spent = 0;
                const auto attempts =
                    attempts_at_deepest(idempotent_call(budget), hops, spent, counts_are_lost);
                REQUIRE(attempts <= 1 + budget);
                REQUIRE(attempts >= 1);
            }
        }
    }
}

TEST_CASE("granted retries exceed their share of the root calls", "[retry]") {
    ratio_state grants{0.1, 10, 10};
    std::uint64_t granted = 0;
    constexpr int roots = 10000;
    for (int root = 0; root < roots; ++root) {
        record_first_attempt(grants);
        auto context = idempotent_call(2);
        granted += grant(grants, context); // the whole grant is spent
        REQUIRE(context.attempts_left <= 2);
    }
    REQUIRE(granted <= roots / 10 + 10);
    SECTION("attempts that were given back are lost") {
        give_back(grants, 2);
        auto context = idempotent_call(2);
        REQUIRE(grant(grants, context) == 2);
    }
}
