#include "gate/internal/attempt_decisions.h"

#include "testing/recording_log.h"

#include <string>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::gate::internal;
using namespace std::chrono_literals;
using core::verdict;
using logging::event_id;
using transport::end_reason;

namespace {

struct attempt_under_test {
    attempt_under_test() { root.bytes[0] = 0xab; }

    [[nodiscard]] decided_attempt subject() const { return {root, attempt, service, class_name, account}; }
    std::string field(const std::string& name) { return log.lines.at(0).fields[name]; }

    testing::recording_log log;
    attempt_decisions decisions{log};
    core::root_id root;
    const core::attempt_id attempt{{9}, 3, 1};
    const std::string service = "squadre";
    const std::string class_name = "lookup";
    const std::string account = "school";
};

} // namespace

TEST_CASE("the log of a started attempt has its waiting time and the gate's load and limit",
          "[gate][events]") {
    attempt_under_test test;
    test.decisions.started(test.subject(), 1'500us, [] { return routing::load_report{{}, 4, 2, 8}; });
    CHECK(test.log.lines.at(0).id == event_id::attempt_started);
    CHECK(test.field("root") == "ab000000000000000000000000000000");
    CHECK(test.field("attempt") == "9/3/1");
    CHECK(test.field("account") == "school");
    CHECK(test.field("waited_ms") == "1.500");
    CHECK(test.field("running") == "4");
    CHECK(test.field("limit") == "8");
}

TEST_CASE("the log of a refused attempt has the load that caused the refusal", "[gate][events]") {
    attempt_under_test test;
    transport::attempt_end end;
    end.run = verdict::not_run;
    end.reason = end_reason::shed;
    end.retry_after = 70ms;
    end.load = routing::load_report{{2, 300}, 8, 11, 8};
    test.decisions.not_admitted(test.subject(), 0ns, end);
    CHECK(test.log.lines.at(0).id == event_id::attempt_not_admitted);
    CHECK(test.field("reason") == "shed");
    CHECK(test.field("verdict") == "not_run");
    CHECK(test.field("waiting") == "11");
    CHECK(test.field("level") == "2/300");
    CHECK(test.field("retry_after_ms") == "70");
}

TEST_CASE("the log of an aborted attempt says whether the backend server may have received it",
          "[gate][events]") {
    attempt_under_test test;
    transport::attempt_end end;
    end.reason = end_reason::backend_failed;
    test.decisions.broken(test.subject(), end, {true, false});
    CHECK(test.log.lines.at(0).id == event_id::attempt_broken);
    CHECK(test.field("verdict") == "may_have_run");
    CHECK(test.field("sent") == "yes");
}

TEST_CASE("the log of an attempt that its record does not allow has the reason and the home",
          "[gate][events]") {
    attempt_under_test test;
    transport::attempt_end end;
    end.run = verdict::may_have_run;
    end.reason = end_reason::already_running;
    end.home = {"127.0.0.1:7100", {5}};
    end.homes_version = 12;
    test.decisions.key_not_admitted(test.subject(), end);
    CHECK(test.log.lines.at(0).id == event_id::key_not_admitted);
    CHECK(test.field("reason") == "already_running");
    CHECK(test.field("verdict") == "may_have_run");
    CHECK(test.field("home") == "127.0.0.1:7100");
    CHECK(test.field("homes_version") == "12");
}
