// Guards against ending an attempt, or truncating its answer, because membership takes its gate for
// unreachable.
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

void doubt(wired_fleet& fleet, std::size_t index, membership::member_status status) {
    membership::member known;
    known.id = fleet.daemon(index).id();
    known.service = "mappa";
    known.data_centre = "palermo";
    known.status = status;
    fleet.daemon(0).entry().member_changed(known);
}

void suspect_all_gates(wired_fleet& fleet) {
    for (const std::size_t index : {0, 1}) {
        doubt(fleet, index, membership::member_status::suspect);
    }
}

/// A call through the first daemon that runs at the second one and is never answered.
struct pending_call {
    explicit pending_call(wired_fleet& chosen, const std::string& method) : fleet(chosen) {
        fleet.daemon(1).announce();
        caller_request request;
        request.method = method;
        request.target = method == "GET" ? "/answer/never" : "/effect/never";
        request.patience = std::chrono::minutes(1);
        fleet.call(0, request, [this](const caller_answer&) { has_ended = true; });
        REQUIRE(fleet.run_until([this] { return arrivals() == 1; }));
        fleet.daemon(0).announce();
    }

    [[nodiscard]] std::uint64_t arrivals() const {
        return fleet.daemon(0).gate_totals().arrived + fleet.daemon(1).gate_totals().arrived;
    }

    void end() {
        fleet.daemon(0).entry().refuse_all_calls();
        fleet.daemon(0).entry().cancel_all_attempts();
        REQUIRE(fleet.run_until([this] { return has_ended; }));
    }

    wired_fleet& fleet;
    bool has_ended = false;
};

void release_answers(wired_fleet& fleet) {
    fleet.daemon(0).backend().release_answers();
    fleet.daemon(1).backend().release_answers();
}

} // namespace

TEST_CASE("an answer that has begun is not truncated when its gate is suspected", "[suspicion]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.read_answer();
    caller.send("GET /answer/held/400000 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                "Monsoonlift-Timeout-Ms: 60000\r\nConnection: close\r\n\r\n");
    REQUIRE(fleet.run_until([&] { return caller.has_head(); }));
    suspect_all_gates(fleet);
    fleet.run_ready();
    release_answers(fleet);
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(caller.answer().ends_with("\r\n0\r\n\r\n"));
    REQUIRE(fleet.settle());
}

TEST_CASE("an attempt whose doubted gate replies goes on", "[suspicion]") {
    const auto status = GENERATE(membership::member_status::suspect, membership::member_status::dead);
    wired_fleet fleet({}, 1);
    pending_call call(fleet, "GET");
    const auto sent_by_gate = fleet.daemon(1).frames().passed();
    // NOTE: the gate is asked again only once its reply has arrived, so a second reply shows that the first
    // counted.
    REQUIRE(fleet.run_until([&] {
        doubt(fleet, 1, status);
        return fleet.daemon(1).frames().passed() > sent_by_gate + 1;
    }));
    CHECK(call.arrivals() == 1);
    CHECK_FALSE(call.has_ended);
    call.end();
    CHECK(call.arrivals() == 1);
}

TEST_CASE("an attempt whose doubted gate is silent is repeated elsewhere if it is idempotent",
          "[suspicion]") {
    wired_fleet fleet({}, 1);
    pending_call call(fleet, "GET");
    fleet.daemon(1).frames().mute();
    doubt(fleet, 1, membership::member_status::suspect);
    CHECK(fleet.run_until([&] { return call.arrivals() == 2; }));
    CHECK(fleet.daemon(0).gate_totals().arrived == 1);
    call.end();
}

TEST_CASE("an attempt that is not idempotent goes on though its gate is doubted", "[suspicion]") {
    const auto status = GENERATE(membership::member_status::suspect, membership::member_status::dead);
    wired_fleet fleet({}, 1);
    pending_call call(fleet, "POST");
    const auto sent_by_entry = fleet.daemon(0).frames().passed();
    doubt(fleet, 1, status);
    fleet.run_ready();
    CHECK(fleet.daemon(0).frames().passed() == sent_by_entry);
    CHECK_FALSE(call.has_ended);
    call.end();
    CHECK(call.arrivals() == 1);
}
