#include "execution/execution_rules.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace monsoonlift::execution;
using monsoonlift::core::attempt_id;
using monsoonlift::core::steady_time;
using monsoonlift::core::verdict;
using monsoonlift::core::wall_time;
using namespace std::chrono_literals;

namespace {

constexpr wall_time start{1'700'000'000'000ms};
constexpr std::chrono::milliseconds skew = 10s;
constexpr std::uint64_t last_call = std::numeric_limits<std::uint64_t>::max();

attempt_id attempt_of(std::uint64_t origin, std::uint64_t call) {
    return {{origin}, call, 0};
}

/// Refuses calls 1 to `calls` of each of `origins` entries, alternating between the entries.
void fill(attempt_fence& fence, std::uint64_t origins, std::uint64_t calls, wall_time expiry) {
    for (std::uint64_t call = 1; call <= calls; ++call) {
        for (std::uint64_t origin = 1; origin <= origins; ++origin) {
            refuse(fence, attempt_of(origin, call), expiry);
        }
    }
}

/// Counts attempts that fill() refused but check() reports as open.
std::size_t count_open(const attempt_fence& fence, std::uint64_t origins, std::uint64_t calls,
                       wall_time expiry) {
    std::size_t open = 0;
    for (std::uint64_t call = 1; call <= calls; ++call) {
        for (std::uint64_t origin = 1; origin <= origins; ++origin) {
            open += check(fence, attempt_of(origin, call), expiry) == fence_state::open ? 1 : 0;
        }
    }
    return open;
}

std::size_t count_kept(const attempt_fence& fence) {
    std::size_t kept = 0;
    for (const auto& [origin, refused] : fence.origins) {
        kept += refused.refused.size();
    }
    return kept;
}

} // namespace

TEST_CASE("a refused attempt is remembered until twice the clock skew after its expiry", "[attempt_fence]") {
    struct row {
        const char* name;
        wall_time expiry;
        wall_time expired_at;
        std::size_t kept;
    };
    const auto cases = std::to_array<row>({
        {"before its expiry", start + 5s, start, 1},
        {"after its expiry", start + 5s, start + 6s, 1},
        {"one skew after its expiry", start + 5s, start + 5s + skew, 1},
        {"twice the skew after its expiry", start + 5s, start + 5s + 2 * skew, 1},
        {"more than twice the skew after its expiry", start + 5s, start + 5s + 2 * skew + 1ms, 0},
        {"expired long before it was refused", start - 1h, start, 0},
        {"expiry far ahead", start + 24h, start + 24h, 1},
        {"expiry far ahead, more than twice the skew after it", start + 24h, start + 24h + 2 * skew + 1ms, 0},
        {"no expiry", wall_time::max(), start + 24h * 365, 1},
        {"earliest possible expiry", wall_time::min() + 1h, start, 0},
        {"the gate's clock was set back", start + 5s, start - 1h, 1},
        {"the gate's clock was set ahead", start + 5s, start + 1h, 0},
    });
    for (const row& one : cases) {
        INFO(one.name);
        attempt_fence fence;
        refuse(fence, attempt_of(5, 7), one.expiry);
        CHECK(check(fence, attempt_of(5, 7), one.expiry) == fence_state::refused);
        expire(fence, one.expired_at, skew);
        CHECK(fence.attempts == one.kept);
        CHECK(fence.origins.size() == one.kept);
        // Whatever the clock shows, a copy stays refused and no other attempt is.
        CHECK(check(fence, attempt_of(5, 7), one.expiry) ==
              (one.kept == 1 ? fence_state::refused : fence_state::stale));
        CHECK(check(fence, attempt_of(5, 8), wall_time::max()) == fence_state::open);
    }
}

TEST_CASE("only copies of the refused attempt are refused, not other attempts or calls", "[attempt_fence]") {
    struct row {
        const char* name;
        attempt_id attempt;
        fence_state state;
    };
    const auto cases = std::to_array<row>({
        {"a copy", {{5}, 7, 1}, fence_state::refused},
        {"an earlier attempt of the call", {{5}, 7, 0}, fence_state::open},
        {"a later attempt of the call", {{5}, 7, 2}, fence_state::open},
        {"an earlier call", {{5}, 6, 1}, fence_state::open},
        {"another entry, or the same entry restarted", {{6}, 7, 1}, fence_state::open},
    });
    attempt_fence fence;
    refuse(fence, {{5}, 7, 1}, start + 5s);
    refuse(fence, {{5}, 7, 1}, start + 5s);
    CHECK(fence.attempts == 1);
    for (const row& one : cases) {
        INFO(one.name);
        CHECK(check(fence, one.attempt, start + 5s) == one.state);
    }
}

TEST_CASE("above the gate's bound the oldest calls of the largest origin are covered and stay refused",
          "[attempt_fence]") {
    struct row {
        const char* name;
        std::size_t most_attempts;
        std::uint64_t origins;
        std::uint64_t calls;
    };
    const auto cases = std::to_array<row>({
        {"one entry", 100, 1, 1'000},
        {"as many attempts as entries", 100, 100, 50},
        {"more entries than attempts", 10, 100, 5},
        {"room for one attempt", 1, 3, 5},
        {"no room", 0, 3, 5},
        {"920 entries with 4096 attempts each, the earlier bound per entry", 65'536, 920, 4'096},
    });
    for (const row& one : cases) {
        INFO(one.name);
        attempt_fence fence;
        fence.most_attempts = one.most_attempts;
        fill(fence, one.origins, one.calls, start + 5s);
        CHECK(fence.attempts <= one.most_attempts);
        CHECK(count_kept(fence) == fence.attempts);
        CHECK(count_open(fence, one.origins, one.calls, start + 5s) == 0);
        CHECK(check(fence, attempt_of(1, one.calls + 1), start + 5s) == fence_state::open);
        expire(fence, start + 5s + 2 * skew + 1ms, skew);
        CHECK(fence.origins.empty());
        CHECK(fence.attempts == 0);
        CHECK(count_open(fence, one.origins, one.calls, start + 5s) == 0);
    }
}

TEST_CASE("an entry with expiries far ahead does not displace the attempts of other entries",
          "[attempt_fence]") {
    attempt_fence fence;
    fence.most_attempts = 100;
    fill(fence, 3, 10, start + 5s);
    for (std::uint64_t call = 1; call <= 1'000; ++call) {
        refuse(fence, attempt_of(9, call), wall_time::max());
    }
    CHECK(fence.attempts <= 100);
    for (std::uint64_t origin = 1; origin <= 3; ++origin) {
        CHECK(fence.origins.at({origin}).refused.size() == 10);
        CHECK_FALSE(fence.origins.at({origin}).covered);
    }
    CHECK(check(fence, attempt_of(4, 1), start) == fence_state::open);
    CHECK(check(fence, attempt_of(9, 1), wall_time::max()) == fence_state::stale);
}

TEST_CASE("above the bound of origins the origin that expires first is covered by the horizon",
          "[attempt_fence]") {
    attempt_fence fence;
    fence.most_origins = 2;
    refuse(fence, attempt_of(1, 1), start + 3s);
    refuse(fence, attempt_of(2, 1), start + 1s);
    refuse(fence, attempt_of(3, 1), start + 2s);
    CHECK(fence.origins.size() == 2);
    CHECK(fence.attempts == 2);
    CHECK(check(fence, attempt_of(2, 1), start + 1s) == fence_state::stale);
    CHECK(check(fence, attempt_of(1, 1), start + 3s) == fence_state::refused);
    CHECK(check(fence, attempt_of(3, 1), start + 2s) == fence_state::refused);
    CHECK(check(fence, attempt_of(4, 1), start + 1s + 1ms) == fence_state::open);
    // An attempt that the horizon covers already is not recorded.
    refuse(fence, attempt_of(1, 2), start);
    CHECK(fence.attempts == 2);
    CHECK(check(fence, attempt_of(1, 2), start) == fence_state::stale);
}

TEST_CASE("the largest possible call number can be covered", "[attempt_fence]") {
    attempt_fence fence;
    fence.most_attempts = 0;
    refuse(fence, attempt_of(5, last_call), start + 5s);
    CHECK(check(fence, attempt_of(5, last_call), start + 5s) == fence_state::stale);
}

TEST_CASE("the memory of expired attempts is freed", "[attempt_fence]") {
    attempt_fence fence;
    fill(fence, 1, 1'000, start + 5s);
    refuse(fence, attempt_of(1, 1'001), start + 10s);
    expire(fence, start + 5s + 2 * skew + 1ms, skew);
    REQUIRE(fence.attempts == 1);
    CHECK(fence.origins.at({1}).refused.capacity() < 10);
    CHECK(check(fence, attempt_of(1, 1'001), start + 10s) == fence_state::refused);
}

TEST_CASE("a copy of a refused attempt never runs when the gate's clock jumps", "[attempt_fence]") {
    struct row {
        const char* name;
        std::chrono::milliseconds steps;
        std::chrono::milliseconds at_end;
    };
    const auto cases = std::to_array<row>({
        {"the clock runs normally", 1s, 60s},
        {"the clock is set back by the skew at the end", 1s, 60s - skew},
        {"the clock is set back by twice the skew", 1s, 5s + 2 * skew + 2s - 2 * skew},
        {"the clock is set back to the start", 1s, 0ms},
        {"the clock ran far ahead for a while", 1h, 1s},
    });
    for (const row& one : cases) {
        INFO(one.name);
        execution_state state;
        state.homes.self = {"10.0.0.1:7000", {42}};
        begin_request asked;
        asked.attempt = attempt_of(5, 1);
        asked.key = key_of_attempt(asked.attempt);
        steady_time now{1h};
        asked.deadline = now + 5s;
        asked.expiry = start + 5s;
        REQUIRE(begin(state, asked, now, start).action == begin_action::run);
        abandon(state.table, asked.key.text);
        for (int count = 1; count <= 60; ++count) {
            now += 1s;
            expire(state.table, now, start + count * one.steps);
        }
        CHECK(state.table.fence.attempts == 0);
        asked.deadline = now + 5s;
        const auto decision = begin(state, asked, now, start + one.at_end);
        CHECK(decision.action == begin_action::refuse);
        CHECK(decision.verdict == verdict::may_have_run);
        asked.attempt = attempt_of(5, 2);
        asked.key = key_of_attempt(asked.attempt);
        asked.expiry = start + 6s + one.at_end;
        CHECK(begin(state, asked, now, start + one.at_end).action == begin_action::run);
    }
}
