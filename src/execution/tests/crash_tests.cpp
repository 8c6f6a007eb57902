#include "execution/crash_guard.h"
#include "testing/silent_log.h"

#include "testing/manual_clock.h"

#include <catch2/catch.hpp>

#include <memory>

using namespace monsoonlift::execution;
using monsoonlift::core::endpoint_id;
using monsoonlift::logging::event_id;
using monsoonlift::testing::manual_clock;
using namespace std::chrono_literals;

namespace {

constexpr request_fingerprint poison{666};
constexpr request_fingerprint bystander{1};
constexpr request_fingerprint other{2};

/// Gates that receive each other's rumors when deliver() is called.
struct fleet {
    manual_clock clock;
    monsoonlift::testing::silent_log log;
    std::vector<std::pair<std::uint32_t, std::string>> rumors;
    std::vector<std::unique_ptr<crash_guard>> gates;

    explicit fleet(std::size_t size) {
        for (std::size_t index = 0; index < size; ++index) {
            const endpoint_id self{"10.0.0." + std::to_string(index + 1) + ":7000", {index + 1}};
            gates.push_back(std::make_unique<crash_guard>(clock, self, crash_limits{}, log,
                                                          [this](std::uint32_t topic, std::string payload) {
                                                              rumors.emplace_back(topic, std::move(payload));
                                                          }));
        }
    }

    void deliver() {
        for (const auto& [topic, payload] : rumors) {
            for (const auto& gate : gates) {
                gate->receive_rumor(topic, payload);
            }
        }
        rumors.clear();
    }

    /// Runs the requests at the gate until its backend server crashes.
    void crash(std::size_t gate, const std::vector<request_fingerprint>& in_flight) {
        for (const request_fingerprint one : in_flight) {
            REQUIRE(gates[gate]->admit(one) == admittance::admitted);
        }
        for (const request_fingerprint one : in_flight) {
            gates[gate]->end(one, run_ending::broken);
        }
        gates[gate]->report_backend_crash();
    }
};

} // namespace

TEST_CASE("a request that crashed two backend servers is held at every gate", "[crash]") {
    fleet fleet(4);
    fleet.crash(0, {poison, bystander});
    fleet.deliver();
    CHECK(fleet.gates[1]->admit(other) == admittance::admitted);
    fleet.crash(1, {poison});
    fleet.deliver();
    for (const auto& gate : fleet.gates) {
        CHECK(gate->admit(poison) == admittance::held);
        CHECK(gate->admit(bystander) == admittance::admitted);
    }
}

TEST_CASE("two crashes hold a request even if neither gate had the other's report", "[crash]") {
    fleet fleet(3);
    fleet.crash(0, {poison, bystander});
    fleet.crash(1, {poison, other});
    fleet.deliver();
    for (const auto& gate : fleet.gates) {
        CHECK(gate->admit(poison) == admittance::held);
    }
    CHECK(fleet.gates[2]->admit(bystander) != admittance::held);
    CHECK(fleet.gates[2]->admit(other) != admittance::held);
}

TEST_CASE("suspects run one at a time, and a suspect that is answered is cleared", "[crash]") {
    fleet fleet(2);
    fleet.crash(0, {poison, bystander, other});
    fleet.deliver();
    crash_guard& gate = *fleet.gates[1];
    CHECK(gate.admit(bystander) == admittance::admitted);
    CHECK(gate.admit(poison) == admittance::busy);
    gate.end(bystander, run_ending::answered);
    CHECK(gate.admit(poison) == admittance::admitted);
    CHECK(gate.admit(bystander) == admittance::admitted);
    gate.end(poison, run_ending::broken);
    gate.report_backend_crash();
    fleet.deliver();
    CHECK(gate.admit(poison) == admittance::held);
    CHECK(gate.admit(bystander) == admittance::admitted);
    CHECK(fleet.gates[0]->admit(other) == admittance::admitted);
}

TEST_CASE("requests are not held because unrelated backend servers crash", "[crash]") {
    fleet fleet(8);
    // Each backend server crashes once, with different requests, as in a rack failure.
    for (std::size_t gate = 0; gate < 8; ++gate) {
        fleet.crash(gate, {{100 + gate}, {200 + gate}});
        fleet.deliver();
    }
    for (std::size_t gate = 0; gate < 8; ++gate) {
        CHECK(fleet.gates[0]->admit({100 + gate}) != admittance::held);
        fleet.gates[0]->end({100 + gate}, run_ending::answered);
    }
}

TEST_CASE(
    "a request that is often answered is not suspected when backend servers crash while it is in flight",
    "[crash]") {
    fleet fleet(4);
    for (std::size_t gate = 0; gate < 4; ++gate) {
        REQUIRE(fleet.gates[gate]->admit(other) == admittance::admitted);
        fleet.gates[gate]->end(other, run_ending::answered);
    }
    for (std::size_t gate = 0; gate < 3; ++gate) {
        // NOTE: a second request with the same content is still in flight when the backend server crashes.
        REQUIRE(fleet.gates[gate]->admit(other) == admittance::admitted);
        fleet.crash(gate, gate < 2 ? std::vector{other, poison} : std::vector{other});
        fleet.deliver();
    }
    for (const auto& gate : fleet.gates) {
        CHECK(gate->admit(other) == admittance::admitted);
        CHECK(gate->admit(poison) == admittance::held);
    }
}

TEST_CASE("an answer of long ago keeps a request that crashes backend servers from being held", "[crash]") {
    fleet fleet(2);
    const bool is_recent = GENERATE(true, false);
    CAPTURE(is_recent);
    for (std::size_t gate = 0; gate < 2; ++gate) {
        REQUIRE(fleet.gates[gate]->admit(other) == admittance::admitted);
        REQUIRE(fleet.gates[gate]->admit(other) == admittance::admitted);
        fleet.gates[gate]->end(other, run_ending::answered);
    }
    fleet.clock.advance(crash_limits{}.answer_memory + (is_recent ? 0s : 1s));
    for (std::size_t gate = 0; gate < 2; ++gate) {
        fleet.gates[gate]->end(other, run_ending::broken);
        fleet.gates[gate]->report_backend_crash();
    }
    fleet.deliver();
    const auto expected = is_recent ? admittance::admitted : admittance::held;
    CHECK(fleet.gates[0]->admit(other) == expected);
    CHECK(fleet.gates[1]->admit(other) == expected);
}

TEST_CASE("a request that was answered once and then crashes backend servers is held", "[crash]") {
    fleet fleet(2);
    REQUIRE(fleet.gates[0]->admit(poison) == admittance::admitted);
    fleet.gates[0]->end(poison, run_ending::answered);
    fleet.crash(0, {poison});
    fleet.crash(0, {poison});
    fleet.deliver();
    fleet.crash(1, {poison});
    fleet.deliver();
    CHECK(fleet.gates[0]->admit(poison) == admittance::held);
    CHECK(fleet.gates[1]->admit(poison) == admittance::held);
}

TEST_CASE("a suspect that was abandoned before it ended stays suspect", "[crash]") {
    fleet fleet(2);
    fleet.crash(0, {poison});
    fleet.deliver();
    crash_guard& gate = *fleet.gates[1];
    REQUIRE(gate.admit(poison) == admittance::admitted);
    gate.end(poison, run_ending::unclear);
    REQUIRE(gate.requests().size() == 1);
    CHECK(gate.requests().front().crashes == 1);
}

TEST_CASE("a connection that broke 3 s before a crash makes no request suspect", "[crash]") {
    fleet fleet(1);
    REQUIRE(fleet.gates[0]->admit(poison) == admittance::admitted);
    fleet.gates[0]->end(poison, run_ending::broken);
    fleet.clock.advance(3s);
    fleet.gates[0]->report_backend_crash();
    CHECK(fleet.rumors.empty());
    CHECK(fleet.gates[0]->requests().empty());
}

TEST_CASE("a hold ends after its time or by an operator's release", "[crash]") {
    fleet fleet(2);
    fleet.crash(0, {poison});
    fleet.deliver();
    fleet.crash(1, {poison});
    fleet.deliver();
    REQUIRE(fleet.gates[0]->admit(poison) == admittance::held);
    REQUIRE(fleet.gates[0]->requests().size() == 1);
    CHECK(fleet.gates[0]->requests().front().held);

    SECTION("time") {
        fleet.clock.advance(crash_limits{}.hold);
        CHECK(fleet.gates[0]->admit(poison) == admittance::admitted);
        fleet.gates[0]->expire();
        CHECK(fleet.gates[0]->requests().empty());
    }
    SECTION("operator") {
        fleet.gates[0]->rule(poison, false);
        fleet.deliver();
        CHECK(fleet.gates[0]->admit(poison) == admittance::admitted);
        CHECK(fleet.gates[1]->admit(poison) == admittance::admitted);
    }
}

TEST_CASE("a request stays suspect after its time, or counts a crash of long ago", "[crash]") {
    fleet fleet(2);
    fleet.crash(0, {poison, bystander});
    fleet.deliver();
    crash_guard& gate = *fleet.gates[1];
    fleet.clock.advance(crash_limits{}.suspicion - 1s);
    CHECK(gate.admit(bystander) == admittance::admitted);
    CHECK(gate.admit(poison) == admittance::busy);
    gate.end(bystander, run_ending::unclear);
    fleet.clock.advance(1s);
    CHECK(gate.admit(bystander) == admittance::admitted);
    gate.expire();
    fleet.gates[0]->expire();
    fleet.crash(1, {poison});
    fleet.deliver();
    CHECK(fleet.gates[0]->admit(poison) == admittance::admitted);
}

TEST_CASE("a request that an operator holds is held at every gate", "[crash]") {
    fleet fleet(2);
    fleet.gates[0]->rule(other, true);
    fleet.deliver();
    CHECK(fleet.gates[1]->admit(other) == admittance::held);
}

TEST_CASE("malformed crash and ruling rumors are ignored", "[crash]") {
    fleet fleet(1);
    for (const char* payload : {"", "x", "\xff\xff\xff"}) {
        fleet.gates[0]->receive_rumor(crash_topic, payload);
        fleet.gates[0]->receive_rumor(ruling_topic, payload);
    }
    CHECK(fleet.gates[0]->requests().empty());
    CHECK_FALSE(read_crash("\x08").has_value());
}

TEST_CASE("a crash report with the most fingerprints fits into a rumor", "[crash]") {
    crash_report report;
    report.gate = {"[fe80:1234:5678:9abc:def0:1234:5678:9abc]:65535", {~0ULL}};
    report.number = ~0ULL;
    report.in_flight.assign(crash_limits{}.max_reported, poison);
    constexpr std::size_t max_rumor_bytes = 900;
    CHECK(write_crash(report).size() <= max_rumor_bytes);
    CHECK(read_crash(write_crash(report)) == report);
}
