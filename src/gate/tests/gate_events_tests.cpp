#include "gate/internal/gate_events.h"

#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <memory>
#include <string>

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::gate::internal;
using namespace std::chrono_literals;
using logging::event_id;
using transport::end_reason;

namespace {

struct gate_under_test {
    gate_under_test() { classes.set_names({"urgent", "lookup"}); }

    testing::manual_clock clock;
    testing::recording_log log;
    metrics::metrics_registry registry;
    gate_classes classes{[this](const std::string& name) {
        return std::make_unique<gate_class>(registry, name);
    }};
    gate_events events{log, clock, registry};
};

} // namespace

TEST_CASE("events about the load have class names instead of ranks", "[gate][events]") {
    gate_under_test gate;
    load_changes changes;
    changes.overload_started = admission::shed_level{1, 40};
    gate.events.load_changed(changes, gate.classes);
    changes = {};
    changes.threshold = threshold_move{{1, 40}, {0, 200}};
    changes.limit = limit_change{8, 2};
    gate.events.load_changed(changes, gate.classes);
    changes = {};
    changes.overload_lasted = 90s;
    gate.events.load_changed(changes, gate.classes);
    REQUIRE(gate.log.lines.size() == 4);
    CHECK(gate.log.lines[0].id == event_id::overload_started);
    CHECK(gate.log.lines[0].fields["refuses_from_class"] == "lookup");
    CHECK(gate.log.lines[1].id == event_id::threshold_moved);
    CHECK(gate.log.lines[1].fields["from_class"] == "lookup");
    CHECK(gate.log.lines[1].fields["to_class"] == "urgent");
    CHECK(gate.log.lines[2].id == event_id::limit_changed);
    CHECK(gate.log.lines[2].fields["from"] == "8");
    CHECK(gate.log.lines[3].id == event_id::overload_ended);
    CHECK(gate.log.lines[3].fields["seconds"] == "90");
}

TEST_CASE("an interval is logged only if requests were refused in it or the process was late",
          "[gate][events]") {
    gate_under_test gate;
    gate.events.counted({900, 900, 0, 0, 3, {}, 99ms});
    CHECK(gate.log.lines.empty());
    gate.events.counted({900, 410, 7, 480, 483, {{1, 40}, 20, 4, 22}, 3ms});
    REQUIRE(gate.log.lines.size() == 1);
    CHECK(gate.log.lines[0].id == event_id::gate_counted);
    CHECK(gate.log.lines[0].fields["shed"] == "7");
    CHECK(gate.log.lines[0].fields["server_refused"] == "480");
    CHECK(gate.log.lines[0].fields["limit"] == "22");
    CHECK(gate.log.lines[0].fields["lag_ms"] == "3.000");
    gate.events.counted({900, 900, 0, 0, 3, {}, 100ms});
    REQUIRE(gate.log.lines.size() == 2);
    CHECK(gate.log.lines[1].fields["lag_ms"] == "100.000");
}

TEST_CASE("no event is written if the load has not changed", "[gate][events]") {
    gate_under_test gate;
    gate.events.load_changed({}, gate.classes);
    CHECK(gate.log.lines.empty());
}

TEST_CASE("all refused copies are counted, but their log lines are throttled", "[gate][events]") {
    gate_under_test gate;
    for (std::uint64_t call = 0; call < 50; ++call) {
        gate.events.copy_refused({{7}, call, 0}, "the attempt has arrived before");
    }
    REQUIRE(gate.log.lines.size() == 1);
    CHECK(gate.log.lines[0].id == event_id::attempt_refused);
    CHECK_THAT(gate.registry.render(), Catch::Contains("monsoonlift_gate_copies_refused_total 50\n"));
}

TEST_CASE("each kind of event is throttled separately", "[gate][events]") {
    gate_under_test gate;
    const core::attempt_id attempt{{7}, 1, 0};
    gate.events.cancelled(gate.classes.of(1), attempt, "it waited for a slot");
    gate.events.connection_refused("127.0.0.1:1", "connection refused");
    gate.events.backend_aborted(gate.classes.of(0), attempt, "it closed the connection");
    gate.events.unknown_frame(attempt);
    gate.events.unknown_frame(attempt);
    REQUIRE(gate.log.lines.size() == 4);
    CHECK(gate.log.lines[0].id == event_id::call_cancelled);
    CHECK(gate.log.lines[0].fields["class"] == "lookup");
    CHECK(gate.log.lines[1].id == event_id::backend_refused_connection);
    CHECK(gate.log.lines[2].id == event_id::backend_broke_off);
    CHECK(gate.log.lines[3].id == event_id::frame_of_unknown_attempt);
    gate.clock.advance(logging::event_throttle::usual_window);
    gate.events.unknown_frame(attempt);
    CHECK(gate.log.lines.back().fields["left_out"] == "1");
}

TEST_CASE("attempts are counted by class and reason", "[gate][metrics]") {
    gate_under_test gate;
    gate.classes.of(0).admitted.add();
    gate.classes.of(0).count_end(end_reason::answered);
    gate.classes.of(0).count_end(end_reason::cancelled);
    gate.classes.of(1).count_refusal(end_reason::shed);
    gate.classes.of(1).count_refusal(end_reason::quarantined);
    gate.classes.of(9).count_refusal(end_reason::backend_failed);
    const auto text = gate.registry.render();
    for (const auto* expected : {
             "monsoonlift_gate_admitted_total{class=\"urgent\"} 1\n",
             "monsoonlift_gate_ended_total{class=\"urgent\",reason=\"answered\"} 1\n",
             "monsoonlift_gate_ended_total{class=\"urgent\",reason=\"cancelled\"} 1\n",
             "monsoonlift_gate_refused_total{class=\"lookup\",reason=\"shed\"} 1\n",
             "monsoonlift_gate_refused_total{class=\"lookup\",reason=\"quarantined\"} 1\n",
             "monsoonlift_gate_refused_total{class=\"unknown\",reason=\"other\"} 1\n",
         }) {
        CHECK_THAT(text, Catch::Contains(expected));
    }
}
