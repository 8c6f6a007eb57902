#include <algorithm>
#include <chrono>
#include <vector>

#include <catch2/catch.hpp>

#include "store/backoff.h"
#include "store/budgeted_object_api.h"
#include "store/http_target.h"
#include "store/settled.h"
#include "store/testing/fake_object_api.h"
#include "store/testing/manual_scheduler.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::store;

namespace {

class counting_log final : public logging::event_log {
public:
    void write(logging::event_id id, std::initializer_list<logging::field>) override { events.push_back(id); }

    std::vector<logging::event_id> events;
};

struct limited_platform {
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler timer{clock};
    store::testing::memory_store store;
    store::testing::fake_object_api inner{store, timer};
    counting_log log;
    budgeted_object_api api{inner, timer, clock, log, {}, 7};

    core::error_code read(std::chrono::milliseconds patience) {
        settled<object_list> answer;
        bool ended = false;
        api.list("a/", patience, [&](core::result<object_list> outcome) {
            answer = settle_result(std::move(outcome));
            ended = true;
        });
        timer.run_until([&ended] { return ended; }, 1h);
        REQUIRE(ended);
        return answer.value ? core::error_code::internal : answer.failure.code;
    }
};

} // namespace

TEST_CASE("calls over the budget wait for tokens and are refused beyond their longest wait", "[platform]") {
    struct {
        const char* what;
        std::chrono::milliseconds passed;
        double cost;
        std::chrono::milliseconds longest_wait;
        std::optional<std::chrono::milliseconds> wait;
    } const steps[] = {
        {"the burst needs no wait", 0ms, 20, 0ms, 0ms},
        {"a read after the burst waits for its token", 0ms, 1, 1000ms, 500ms},
        {"the next read waits behind it", 0ms, 1, 1000ms, 1000ms},
        {"a call beyond its longest wait takes no token", 0ms, 1, 1000ms, std::nullopt},
        {"tokens refill with time", 1500ms, 1, 0ms, 0ms},
        {"a write costs more than a read", 0ms, 5, 10'000ms, 2500ms},
        {"the bucket holds no more than the burst", 1h, 21, 10'000ms, 500ms},
    };
    core::steady_time now{1h};
    auto budget = full_budget({}, now);
    for (const auto& step : steps) {
        INFO(step.what);
        now += step.passed;
        const auto wait = reserve(budget, step.cost, step.longest_wait, now);
        REQUIRE(wait.has_value() == step.wait.has_value());
        if (wait) {
            CHECK(std::chrono::round<std::chrono::milliseconds>(*wait) == *step.wait);
        }
    }
}

TEST_CASE("retry delays double up to a bound, with full jitter", "[platform]") {
    random_engine random(3);
    const backoff_rule rule{100ms, 1000ms};
    const std::chrono::milliseconds bounds[] = {100ms, 200ms, 400ms, 800ms, 1000ms, 1000ms};
    for (std::uint32_t attempt = 0; attempt < std::size(bounds); ++attempt) {
        std::chrono::milliseconds shortest = 1h;
        std::chrono::milliseconds longest = 0ms;
        for (int draw = 0; draw < 1000; ++draw) {
            const auto delay = next_delay(rule, attempt, random);
            shortest = std::min(shortest, delay);
            longest = std::max(longest, delay);
        }
        CHECK(longest <= bounds[attempt]);
        CHECK(longest > bounds[attempt] * 9 / 10);
        CHECK(shortest < bounds[attempt] / 10);
    }
    CHECK(next_delay(rule, 1'000'000, random) <= 1000ms);
}

TEST_CASE("the circuit opens after consecutive failures and admits one probe after the pause", "[platform]") {
    random_engine random(5);
    core::steady_time now{1h};
    circuit state;
    CHECK_FALSE(record_failure(state, random, now));
    CHECK_FALSE(record_success(state));
    CHECK_FALSE(record_failure(state, random, now));
    CHECK_FALSE(record_failure(state, random, now));
    CHECK(record_failure(state, random, now));
    now = state.open_until - 1ns;
    CHECK_FALSE(admit(state, now));
    now = state.open_until;
    CHECK(admit(state, now));
    CHECK_FALSE(admit(state, now));
    CHECK_FALSE(record_failure(state, random, now));
    CHECK(state.phase == circuit_phase::open);
    now = state.open_until;
    CHECK(admit(state, now));
    CHECK(record_success(state));
    CHECK(admit(state, now));
}

TEST_CASE("an outage causes few calls and recovery is detected", "[platform]") {
    limited_platform limited;
    CHECK(limited.read(1000ms) == core::error_code::internal);
    limited.inner.set_outage(true);
    const auto before = limited.inner.calls();
    constexpr int outage_seconds = 3600;
    for (int second = 0; second < outage_seconds; ++second) {
        CHECK(limited.read(900ms) == core::error_code::unavailable);
        limited.timer.run_for(1s);
    }
    const auto spent = limited.inner.calls() - before;
    CHECK(spent < outage_seconds / 4);
    CHECK(spent > outage_seconds / 15);
    limited.inner.set_outage(false);
    limited.timer.run_for(15s);
    CHECK(limited.read(900ms) == core::error_code::internal);
    CHECK(limited.log.events ==
          std::vector{logging::event_id::platform_unreachable, logging::event_id::platform_reachable});
}

TEST_CASE("a fleet stays within its call budget after the platform recovers", "[platform]") {
    constexpr std::size_t daemons = 100;
    monsoonlift::testing::manual_clock clock;
    store::testing::manual_scheduler timer{clock};
    store::testing::memory_store store;
    store::testing::fake_object_api inner{store, timer};
    counting_log log;
    std::vector<std::unique_ptr<budgeted_object_api>> fleet;
    for (std::size_t seed = 0; seed < daemons; ++seed) {
        fleet.push_back(std::make_unique<budgeted_object_api>(inner, timer, clock, log, call_limits{}, seed));
    }
    const auto run_second = [&] {
        const auto before = inner.calls();
        for (const auto& api : fleet) {
            for (int call = 0; call < 5; ++call) {
                api->list("a/", 500ms, [](const core::result<object_list>&) {});
            }
        }
        timer.run_for(1s);
        return inner.calls() - before;
    };
    inner.set_outage(true);
    for (int second = 0; second < 120; ++second) {
        run_second();
    }
    inner.set_outage(false);
    const auto allowed = static_cast<std::uint64_t>(daemons * call_budget_rule{}.tokens_per_second);
    for (int second = 0; second < 20; ++second) {
        CHECK(run_second() <= allowed + daemons / 2);
    }
}

TEST_CASE("request targets are parsed and percent-encoded", "[platform]") {
    const auto target = parse_target("/objects/members/10.0.0.1%3A7000?prefix=a%20b&empty=&flag");
    REQUIRE(target);
    CHECK(target->path == "/objects/members/10.0.0.1:7000");
    CHECK(target->query.at("prefix") == "a b");
    CHECK(target->query.at("empty").empty());
    CHECK(target->query.contains("flag"));
    CHECK_FALSE(parse_target("/objects/%zz"));
    CHECK_FALSE(parse_target("/objects/%4"));
    CHECK(parse_target("/" + percent_encode("a?b&c=%\xC3\xA9"))->path == "/a?b&c=%\xC3\xA9");
    CHECK_FALSE(parse_whole_number("12x"));
    CHECK_FALSE(parse_whole_number("-1"));
    CHECK(parse_whole_number("12") == 12);
}
