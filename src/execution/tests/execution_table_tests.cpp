#include "execution/execution_rules.h"

#include <catch2/catch.hpp>

#include <array>

using namespace monsoonlift::execution;
using monsoonlift::core::attempt_id;
using monsoonlift::core::endpoint_id;
using monsoonlift::core::steady_time;
using monsoonlift::core::verdict;
using monsoonlift::core::wall_time;
using namespace std::chrono_literals;

namespace {

const endpoint_id here{"10.0.0.1:7000", {42}};
const endpoint_id elsewhere{"10.0.0.2:7000", {43}};
constexpr steady_time start{1h};
constexpr wall_time wall_start{1'700'000'000'000ms};

/// A gate that is the home of every slot, with its own clock.
struct fixture {
    execution_state state;
    std::chrono::milliseconds elapsed{0};

    fixture() {
        state.homes.self = here;
        state.homes.table.version = 1;
        for (home_slot& slot : state.homes.table.slots) {
            slot.holder = here;
        }
    }

    [[nodiscard]] steady_time now() const { return start + elapsed; }
    [[nodiscard]] wall_time wall_now() const { return wall_start + elapsed; }

    [[nodiscard]] begin_request request(const std::string& key, std::uint64_t call = 1) const {
        begin_request asked;
        asked.key = *parse_key(key);
        asked.fingerprint = {99};
        asked.attempt = {{5}, call, 0};
        asked.deadline = now() + 5s;
        return asked;
    }

    [[nodiscard]] begin_request request_without_key(std::uint64_t call) const {
        begin_request asked;
        asked.attempt = {{5}, call, 0};
        asked.key = key_of_attempt(asked.attempt);
        asked.fingerprint = {99};
        asked.deadline = now() + 5s;
        asked.expiry = wall_now() + 5s;
        return asked;
    }

    begin_decision begin(const begin_request& asked) {
        return monsoonlift::execution::begin(state, asked, now(), wall_now());
    }

    void run_to_end(const begin_request& asked, std::size_t body_bytes = 10) {
        REQUIRE(begin(asked).action == begin_action::run);
        REQUIRE(mark_sent(state.table, asked.key.text, now()));
        stored_answer answer;
        answer.status = 201;
        answer.body.assign(body_bytes, 'x');
        finish_ran(state.table, asked.key.text, answer, now());
    }
};

} // namespace

TEST_CASE("a resent key gets the stored answer", "[execution_table]") {
    fixture gate;
    gate.run_to_end(gate.request("k"));
    const auto decision = gate.begin(gate.request("k", 2));
    CHECK(decision.action == begin_action::replay);
    CHECK(decision.verdict == verdict::ran);
    REQUIRE(decision.answer);
    CHECK(decision.answer->status == 201);
}

TEST_CASE("a request whose answer was too large to store is still reported as ran", "[execution_table]") {
    fixture gate;
    gate.run_to_end(gate.request("k"), gate.state.table.limits.largest_answer + 1);
    const auto decision = gate.begin(gate.request("k", 2));
    CHECK(decision.action == begin_action::refuse);
    CHECK(decision.reason == begin_reason::answer_not_kept);
    CHECK(decision.verdict == verdict::ran);
}

TEST_CASE("a key in progress does not run again: copies are dropped, resends and conflicts refused",
          "[execution_table]") {
    fixture gate;
    const auto first = gate.request("k");
    REQUIRE(gate.begin(first).action == begin_action::run);
    CHECK(gate.begin(first).action == begin_action::drop);
    const auto second = gate.begin(gate.request("k", 2));
    CHECK(second.reason == begin_reason::already_running);
    CHECK(second.verdict == verdict::may_have_run);
    auto other = gate.request("k", 3);
    other.fingerprint = {100};
    CHECK(gate.begin(other).reason == begin_reason::key_conflict);
}

TEST_CASE("an abandoned key may run again, but not by a copy of the abandoned attempt", "[execution_table]") {
    fixture gate;
    const auto first = gate.request("k");
    REQUIRE(gate.begin(first).action == begin_action::run);
    abandon(gate.state.table, "k");
    CHECK(gate.begin(first).reason == begin_reason::repeated_attempt);
    CHECK(gate.begin(gate.request("k", 2)).action == begin_action::run);
}

TEST_CASE("a request is not sent after its deadline", "[execution_table]") {
    fixture gate;
    const auto first = gate.request("k");
    REQUIRE(gate.begin(first).action == begin_action::run);
    gate.elapsed += 5s;
    CHECK_FALSE(mark_sent(gate.state.table, "k", gate.now()));
    CHECK(gate.state.table.records.empty());
    CHECK(gate.begin(first).action == begin_action::refuse);
}

TEST_CASE("a request that got no complete answer does not run again", "[execution_table]") {
    fixture gate;
    REQUIRE(gate.begin(gate.request("k")).action == begin_action::run);
    REQUIRE(mark_sent(gate.state.table, "k", gate.now()));
    finish_without_answer(gate.state.table, "k", verdict::may_have_run, gate.now());
    const auto decision = gate.begin(gate.request("k", 2));
    CHECK(decision.reason == begin_reason::outcome_unknown);
    CHECK(decision.verdict == verdict::may_have_run);
}

TEST_CASE("a key that the backend server reported as not run may run again", "[execution_table]") {
    fixture gate;
    REQUIRE(gate.begin(gate.request("k")).action == begin_action::run);
    REQUIRE(mark_sent(gate.state.table, "k", gate.now()));
    finish_not_run(gate.state.table, "k");
    CHECK(gate.begin(gate.request("k", 2)).action == begin_action::run);
}

TEST_CASE("keys issued in the future or longer ago than the resend window are refused", "[execution_table]") {
    struct row {
        std::chrono::milliseconds age;
        begin_action action;
        begin_reason reason;
    };
    const execution_limits limits;
    const auto cases = std::to_array<row>({
        {0ms, begin_action::run, begin_reason::none},
        {-limits.clock_skew, begin_action::run, begin_reason::none},
        {-limits.clock_skew - 1ms, begin_action::refuse, begin_reason::invalid_date},
        {limits.resend_window, begin_action::run, begin_reason::none},
        {limits.resend_window + 1ms, begin_action::refuse, begin_reason::key_too_old},
    });
    for (const row& one : cases) {
        fixture gate;
        const auto decision = gate.begin(gate.request(make_permit(here, {7}, 1, gate.wall_now() - one.age)));
        CHECK(decision.action == one.action);
        CHECK(decision.reason == one.reason);
    }
}

TEST_CASE("a record is kept until its key is too old to run again", "[execution_table]") {
    fixture gate;
    const execution_limits& limits = gate.state.table.limits;
    // Issued by a clock that is ahead by the largest allowed skew.
    const std::string key = make_permit(here, {7}, 1, gate.wall_now() + limits.clock_skew);
    gate.run_to_end(gate.request(key));
    for (std::uint64_t call = 2; gate.elapsed < 2 * limits.resend_window; ++call) {
        gate.elapsed += 1s;
        expire(gate.state.table, gate.now(), gate.wall_now());
        CHECK(gate.begin(gate.request(key, call)).action != begin_action::run);
    }
    CHECK(gate.state.table.records.empty());
    CHECK(gate.state.table.answer_bytes == 0);
}

TEST_CASE("a full table refuses new keys and removes no record early", "[execution_table]") {
    fixture gate;
    gate.state.table.limits.records = 2;
    gate.run_to_end(gate.request("a"));
    gate.run_to_end(gate.request("b", 2));
    const auto refused = gate.begin(gate.request("c", 3));
    CHECK(refused.reason == begin_reason::table_full);
    CHECK(refused.verdict == verdict::not_run);
    CHECK(gate.begin(gate.request("a", 4)).action == begin_action::replay);
    gate.elapsed += retention(gate.state.table.limits);
    expire(gate.state.table, gate.now(), gate.wall_now());
    CHECK(gate.begin(gate.request("c", 5)).action == begin_action::run);
}

TEST_CASE("requests without a key fill the table long after they have expired", "[execution_table]") {
    fixture gate;
    gate.state.table.limits.records = 2;
    constexpr std::uint64_t calls = 100;
    for (std::uint64_t call = 1; call <= calls; ++call) {
        const auto asked = gate.request_without_key(call);
        INFO("call " << call);
        gate.run_to_end(asked);
        gate.elapsed += 15s;
        expire(gate.state.table, gate.now(), gate.wall_now());
        auto copy = asked;
        copy.deadline = gate.now() + 5s;
        CHECK(gate.begin(copy).action != begin_action::run);
    }
    gate.elapsed += 1min;
    expire(gate.state.table, gate.now(), gate.wall_now());
    CHECK(gate.state.table.records.empty());
    CHECK(gate.state.table.attempt_ends.empty());
    CHECK(gate.state.table.answer_bytes == 0);
}

TEST_CASE("a copy of a request without a key runs after its record, whatever the clocks do",
          "[execution_table]") {
    struct row {
        const char* name;
        std::chrono::milliseconds entry_ahead; // The clock of the entry.
        std::chrono::milliseconds gate_ahead;  // The clock of the gate when the record expires.
        std::chrono::milliseconds later;
    };
    const auto cases = std::to_array<row>({
        {"right clocks", 0s, 0s, 30s},
        {"the gate's clock is set back after it", 0s, 1h, 30s},
        {"the gate's clock is behind", 0s, -1h, 30s},
        {"the entry's clock is ahead", 1h, 0s, 30s},
        {"the entry's clock is ahead, for long", 1h, 0s, 10min},
    });
    for (const row& one : cases) {
        INFO(one.name);
        fixture gate;
        auto asked = gate.request_without_key(1);
        asked.expiry += one.entry_ahead;
        gate.run_to_end(asked);
        gate.elapsed += one.later;
        expire(gate.state.table, gate.now(), gate.wall_now() + one.gate_ahead);
        asked.deadline = gate.now() + 5s;
        CHECK(monsoonlift::execution::begin(gate.state, asked, gate.now(), wall_start).action !=
              begin_action::run);
        CHECK(gate.begin(gate.request_without_key(2)).action == begin_action::run);
    }
}

TEST_CASE("an attempt that was delayed in transit past its expiry is refused", "[execution_table]") {
    fixture gate;
    auto asked = gate.request("k");
    asked.expiry = gate.wall_now() + 5s;
    gate.elapsed = 5s + gate.state.table.limits.clock_skew + 1ms;
    asked.deadline = gate.now() + 5s;
    const auto decision = gate.begin(asked);
    CHECK(decision.reason == begin_reason::held_up);
    CHECK(decision.verdict == verdict::may_have_run);
}

TEST_CASE("a gate refuses keys of which it is not, or not yet known to be, the home", "[execution_rules]") {
    fixture gate;
    const std::string key = "k";
    home_slot& slot = gate.state.homes.table.slots[slot_of(key)];

    slot.holder = elsewhere;
    auto decision = gate.begin(gate.request(key));
    CHECK(decision.reason == begin_reason::wrong_home);
    CHECK(decision.home == elsewhere);
    CHECK(decision.homes_version == 1);
    CHECK(decision.verdict == verdict::not_run);

    slot.holder = {};
    CHECK(gate.begin(gate.request(key, 2)).reason == begin_reason::home_unknown);

    slot.holder = here;
    gate.state.homes.table.version = 0;
    CHECK(gate.begin(gate.request(key, 3)).reason == begin_reason::home_unknown);

    gate.state.homes.table.version = 1;
    home_table reassigned = gate.state.homes.table;
    reassigned.slots[slot_of(key)].holder = elsewhere;
    begin_write(gate.state.homes, reassigned);
    CHECK(gate.begin(gate.request(key, 4)).reason == begin_reason::home_changing);
    CHECK(gate.begin(gate.request(key, 1)).reason == begin_reason::repeated_attempt);
}

TEST_CASE("keys that an earlier home may have received are refused", "[execution_rules]") {
    struct row {
        const char* name;
        std::chrono::milliseconds issued_after_seen;
        std::chrono::milliseconds now_after_seen;
        bool opaque;
        bool runs;
    };
    const execution_limits limits;
    const auto cases = std::to_array<row>({
        {"dated, issued before seen_until", -1s, 20s, false, false},
        {"dated, issued within the skew after seen_until", limits.clock_skew, 20s, false, false},
        {"dated, issued later than the skew after seen_until", limits.clock_skew + 1ms, 20s, false, true},
        {"opaque, within the resend window", 0ms, 20s, true, false},
        {"opaque, at the end of the resend window plus skew", 0ms, limits.resend_window + limits.clock_skew,
         true, false},
        {"opaque, after the resend window plus skew", 0ms, limits.resend_window + limits.clock_skew + 1ms,
         true, true},
    });
    for (const row& one : cases) {
        fixture gate;
        const wall_time seen = gate.wall_now();
        for (home_slot& slot : gate.state.homes.table.slots) {
            slot.seen_until = seen;
        }
        gate.elapsed = one.now_after_seen;
        auto asked = gate.request("k");
        if (!one.opaque) {
            asked.key.kind = key_kind::dated;
            asked.key.issued = seen + one.issued_after_seen;
        }
        const auto decision = gate.begin(asked);
        INFO(one.name);
        CHECK((decision.action == begin_action::run) == one.runs);
        if (!one.runs) {
            CHECK(decision.reason == begin_reason::seen_before);
            CHECK(decision.verdict == verdict::may_have_run);
        }
    }
}

TEST_CASE("a permit runs only at the gate incarnation that it names", "[execution_rules]") {
    fixture gate;
    const auto permit_for = [&](const endpoint_id& target) {
        return make_permit(target, {7}, 1, gate.wall_now());
    };
    CHECK(gate.begin(gate.request(permit_for(here), 1)).action == begin_action::run);
    CHECK(gate.begin(gate.request(permit_for(elsewhere), 2)).reason == begin_reason::wrong_home);
    const auto gone = gate.begin(gate.request(permit_for({here.address, {41}}), 3));
    CHECK(gone.reason == begin_reason::gate_gone);
    CHECK(gone.verdict == verdict::may_have_run);
}
