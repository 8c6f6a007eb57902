#include "entry/internal/entry_events.h"

#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <memory>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace monsoonlift::entry::internal;
using namespace std::chrono_literals;
using core::verdict;
using logging::event_id;

namespace {

problem problem_with(unsigned status, verdict run, const std::string& type) {
    return {status, run, type, "A title", "a detail", {}};
}

struct entry_under_test {
    event_subject subject() { return {classes.of(1), service, {}}; }

    testing::manual_clock clock;
    testing::recording_log log;
    metrics::metrics_registry registry;
    call_classes classes{[this](const std::string& name) {
        return std::make_unique<call_class>(registry, clock, name);
    }};
    entry_events events{log, clock};
    std::string service = "squadre";
};

} // namespace

TEST_CASE("each kind of problem sent to a caller is logged as its own event", "[entry][events]") {
    struct problem_case {
        problem trouble;
        std::optional<event_id> expected;
    };
    const problem_case cases[] = {
        {problem_with(429, verdict::not_run, "shed"), event_id::calls_shed},
        {problem_with(503, verdict::not_run, "no-backend-server"), event_id::service_unreachable},
        {problem_with(503, verdict::may_have_run, "no-backend-server"), event_id::call_may_have_run},
        {problem_with(502, verdict::may_have_run, "backend-failed"), event_id::call_may_have_run},
        {problem_with(400, verdict::not_run, "bad-timeout"), event_id::request_malformed},
        {problem_with(404, verdict::not_run, "unknown-service"), event_id::request_malformed},
        {problem_with(504, verdict::not_run, "deadline"), std::nullopt},
    };
    for (const auto& one : cases) {
        INFO(one.trouble.type);
        entry_under_test entry;
        entry.events.problem_sent(entry.subject(), one.trouble);
        REQUIRE(entry.log.lines.size() == (one.expected ? 1 : 0));
        if (one.expected) {
            CHECK(entry.log.lines[0].id == *one.expected);
            CHECK(entry.log.lines[0].fields["detail"] == "a detail");
        }
    }
}

TEST_CASE("shed calls are logged once per class and window, with the number left out", "[entry][events]") {
    entry_under_test entry;
    entry.classes.set_names({"urgent", "lookup"});
    const auto shed = problem_with(429, verdict::not_run, "shed");
    for (int times = 0; times < 100; ++times) {
        entry.events.problem_sent(entry.subject(), shed);
    }
    entry.events.problem_sent({entry.classes.of(0), entry.service, {}}, shed);
    REQUIRE(entry.log.lines.size() == 2);
    CHECK(entry.log.lines[0].fields["class"] == "lookup");
    CHECK(entry.log.lines[0].fields["service"] == "squadre");
    CHECK(entry.log.lines[0].fields["left_out"] == "0");
    CHECK(entry.log.lines[1].fields["class"] == "urgent");
    entry.clock.advance(logging::event_throttle::usual_window);
    entry.events.problem_sent(entry.subject(), shed);
    REQUIRE(entry.log.lines.size() == 3);
    CHECK(entry.log.lines[2].fields["left_out"] == "99");
}

TEST_CASE("a long detail quoted from a request is truncated in the log", "[entry][events]") {
    entry_under_test entry;
    auto trouble = problem_with(404, verdict::not_run, "unknown-call");
    trouble.detail = std::string(16 * 1024, 'a');
    entry.events.malformed(trouble);
    REQUIRE(entry.log.lines.size() == 1);
    CHECK(entry.log.lines[0].fields["detail"].size() == 200);
}

TEST_CASE("calls are counted by class, outcome and verdict", "[entry][metrics]") {
    entry_under_test entry;
    entry.classes.set_names({"urgent", "lookup"});
    entry.classes.of(0).count_end(call_outcome::answered, verdict::ran);
    entry.classes.of(1).count_end(call_outcome::problem, verdict::not_run);
    entry.classes.of(1).count_withheld(spent_budget::daemon);
    entry.classes.of(7).count_end(call_outcome::caller_gone, verdict::may_have_run);
    const auto text = entry.registry.render();
    CHECK_THAT(text, Catch::Contains("monsoonlift_calls_ended_total{class=\"urgent\",outcome=\"answered\","
                                     "verdict=\"ran\"} 1\n"));
    CHECK_THAT(text, Catch::Contains("monsoonlift_calls_ended_total{class=\"lookup\",outcome=\"problem\","
                                     "verdict=\"not_run\"} 1\n"));
    CHECK_THAT(text, Catch::Contains("monsoonlift_calls_ended_total{class=\"unknown\","
                                     "outcome=\"caller_gone\",verdict=\"may_have_run\"} 1\n"));
    CHECK_THAT(text,
               Catch::Contains("monsoonlift_retries_withheld_total{class=\"lookup\",budget=\"daemon\"} 1\n"));
}

TEST_CASE("problems of unknown type don't add counters", "[entry][metrics]") {
    struct reason_case {
        unsigned status;
        const char* type;
        const char* reason;
    };
    const reason_case cases[] = {
        {429, "shed", "shed"},
        {503, "quarantined", "quarantined"},
        {400, "body-incomplete", "body-incomplete"},
        {503, "body-damaged", "body-damaged"},
        {404, "unknown-call", "unknown-call"},
        {400, "bad-timeout", "malformed"},
        {413, "head-too-large", "malformed"},
        {500, "something-new", "other"},
    };
    for (const auto& one : cases) {
        INFO(one.type);
        entry_under_test entry;
        entry.classes.unknown().count_problem(problem_with(one.status, verdict::not_run, one.type));
        CHECK_THAT(entry.registry.render(),
                   Catch::Contains("monsoonlift_call_problems_total{class=\"unknown\",reason=\"" +
                                   std::string(one.reason) + "\"} 1\n"));
    }
}
