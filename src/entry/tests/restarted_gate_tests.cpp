// Guards against calls that wait for their deadline because their gate's process has been replaced.
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

membership::member member_of(const core::endpoint_id& id, membership::member_status status) {
    membership::member known;
    known.id = id;
    known.service = "mappa";
    known.data_centre = "palermo";
    known.status = status;
    return known;
}

/// Makes the first daemon's entry believe that an earlier process runs at the second daemon's address.
void forget_restart(wired_fleet& fleet) {
    const auto gate = fleet.daemon(1).id();
    auto& entry = fleet.daemon(0).entry();
    entry.member_changed(member_of(fleet.daemon(0).id(), membership::member_status::dead));
    entry.member_changed(member_of(gate, membership::member_status::dead));
    entry.member_changed(member_of({gate.address, {gate.life.value - 1}}, membership::member_status::alive));
}

caller_answer call(wired_fleet& fleet, const std::string& method) {
    std::optional<caller_answer> answer;
    caller_request request;
    request.method = method;
    request.target = method == "GET" ? "/answer/1" : "/effect/1";
    fleet.call(0, std::move(request), [&](caller_answer received) { answer = std::move(received); });
    REQUIRE(fleet.run_until([&] { return answer.has_value(); }));
    return *answer;
}

} // namespace

TEST_CASE("a call to a restarted daemon ends at its deadline, or as one that may have run",
          "[restarted_gate]") {
    const std::string method = GENERATE("GET", "POST");
    CAPTURE(method);
    wired_fleet fleet({}, 1);
    fleet.daemon(1).announce();
    forget_restart(fleet);
    const auto answer = call(fleet, method);
    CHECK_FALSE(answer.timed_out);
    CHECK(answer.status == 503);
    CHECK(answer.verdict == "not_run");
    CHECK(fleet.daemon(1).totals().wrong_incarnation > 0);
    REQUIRE(fleet.settle());
}

TEST_CASE("answers that a gate sent before its process was replaced are lost", "[restarted_gate]") {
    constexpr std::uint64_t calls = 40;
    wired_fleet fleet({}, 1);
    fleet.daemon(1).announce();
    auto& entry = fleet.daemon(0).entry();
    entry.member_changed(member_of(fleet.daemon(0).id(), membership::member_status::dead));
    std::vector<caller_answer> answers;
    for (std::uint64_t number = 0; number < calls; ++number) {
        caller_request request;
        request.method = "POST";
        request.target = "/effect/1";
        fleet.call(0, std::move(request),
                   [&](caller_answer received) { answers.push_back(std::move(received)); });
    }
    auto& gate = fleet.daemon(1);
    while (gate.gate_totals().answered < calls) {
        fleet.io().run_one();
    }
    const auto ended = gate.id();
    entry.member_changed(
        member_of({ended.address, {ended.life.value + 1}}, membership::member_status::alive));
    REQUIRE(fleet.run_until([&] { return answers.size() == calls; }));
    const auto served = std::ranges::count_if(
        answers, [](const auto& answer) { return answer.whole && answer.status == 200; });
    CHECK(served == calls);
    CHECK(fleet.runs("/effect/1") == calls);
}
