#include "entry/internal/call_decisions.h"

#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <string>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace monsoonlift::entry::internal;
using namespace std::chrono_literals;
using core::verdict;
using logging::event_id;
using transport::end_reason;

namespace {

struct call_under_test {
    call_under_test() { root.bytes[15] = 7; }

    [[nodiscard]] decided_call call() const { return {root, 3, service, class_name}; }
    [[nodiscard]] ended_attempt ended(const transport::attempt_end& end) const {
        return {attempt, gate, end, true, 12'500us};
    }
    std::string field(const std::string& name) { return log.lines.at(0).fields[name]; }

    testing::manual_clock clock;
    testing::recording_log log;
    call_decisions decisions{log, clock};
    core::root_id root;
    const std::string service = "squadre";
    const std::string class_name = "urgent";
    const core::attempt_id attempt{{9}, 3, 1};
    const core::endpoint_id gate{"127.0.0.1:7100", {5}};
};

/// A log that accepts no line and counts how often wants() is called.
class full_log final : public logging::event_log {
public:
    void write(event_id /*id*/, std::initializer_list<logging::field> /*fields*/) override { ++written; }
    [[nodiscard]] bool wants(event_id /*id*/) override {
        ++asked;
        return false;
    }

    int written = 0;
    int asked = 0;
};

} // namespace

TEST_CASE("the log line of a choice by load has the load report used and its age", "[entry][events]") {
    call_under_test test;
    routing::route_evidence evidence;
    evidence.usable = 4;
    evidence.is_local = true;
    evidence.report = {{1, 40}, 6, 2, 8};
    evidence.report_age = 250ms;
    test.decisions.sent(test.call(), {test.attempt, test.gate, route_reason::load, evidence, 0});
    REQUIRE(test.log.lines.size() == 1);
    CHECK(test.log.lines[0].id == event_id::attempt_sent);
    CHECK(test.field("root") == "00000000000000000000000000000007");
    CHECK(test.field("attempt") == "9/3/1");
    CHECK(test.field("gate") == "127.0.0.1:7100");
    CHECK(test.field("chosen_by") == "load");
    CHECK(test.field("usable") == "4");
    CHECK(test.field("local") == "yes");
    CHECK(test.field("load") == "6 running, 2 waiting, limit 8, level 1/40");
    CHECK(test.field("load_age_ms") == "250.000");
}

TEST_CASE("the log line of a choice by the home of a key has the home table's version", "[entry][events]") {
    call_under_test test;
    test.decisions.sent(test.call(), {test.attempt, test.gate, route_reason::home, {}, 17});
    CHECK(test.field("chosen_by") == "home");
    CHECK(test.field("homes_version") == "17");
    CHECK(test.field("load").empty());
}

TEST_CASE("the log line of a failed attempt says who reported the failure and what follows",
          "[entry][events]") {
    call_under_test test;
    transport::attempt_end end;
    end.run = verdict::not_run;
    end.reason = end_reason::shed;
    end.detail = "overloaded";
    test.decisions.attempt_failed(test.call(), test.ended(end), retry_text(12ms));
    CHECK(test.log.lines.at(0).id == event_id::attempt_failed);
    CHECK(test.field("reason") == "shed");
    CHECK(test.field("verdict") == "not_run");
    CHECK(test.field("told_by") == "gate");
    CHECK(test.field("took_ms") == "12.500");
    CHECK(test.field("next") == "retry in 12.000 ms");
}

TEST_CASE("the log line of a refusal has the problem sent and the evidence for it", "[entry][events]") {
    call_under_test test;
    routing::route_evidence evidence;
    evidence.usable = 2;
    evidence.level = {1, 128};
    problem trouble{429, verdict::not_run, "shed", "Refused under overload", std::string(1000, 'd'), 2s};
    test.decisions.refused(test.call(), {3, 40ms}, trouble, evidence);
    CHECK(test.log.lines.at(0).id == event_id::call_refused);
    CHECK(test.field("status") == "429");
    CHECK(test.field("type") == "shed");
    CHECK(test.field("verdict") == "not_run");
    CHECK(test.field("attempts") == "3");
    CHECK(test.field("took_ms") == "40.000");
    CHECK(test.field("level") == "1/128");
    CHECK(test.field("retry_after_ms") == "2000");
    CHECK(test.field("detail").size() == 200);
}

TEST_CASE("no log line is built while the log accepts none", "[entry][events]") {
    testing::manual_clock clock;
    full_log log;
    call_decisions decisions(log, clock);
    const std::string name = "squadre";
    const core::attempt_id attempt{{9}, 3, 1};
    const core::endpoint_id gate{"127.0.0.1:7100", {5}};
    const transport::attempt_end end;
    const decided_call call{{}, 3, name, name};
    const ended_attempt ended{attempt, gate, end, true, 0ns};
    decisions.accepted(call, {}, 1);
    decisions.sent(call, {attempt, gate, route_reason::load, {}, 0});
    decisions.attempt_answered(call, ended);
    decisions.attempt_redirected(call, ended);
    decisions.attempt_failed(call, ended, "none");
    decisions.answered(call, {}, 200);
    decisions.refused(call, {}, {}, {});
    decisions.abandoned(call, {}, verdict::not_run);
    CHECK(log.asked == 8);
    CHECK(log.written == 0);
}
