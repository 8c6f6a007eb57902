// Guards against an exception in one call that takes other calls, slots or the caller's whole patience with
// it (LOST).
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;
using logging::event_id;

namespace {

constexpr std::size_t calls_at_once = 12;

/// Longer than a test caller waits, so a call that ends at its deadline only counts as timed out.
constexpr std::chrono::milliseconds patience = 90s;

/// Large enough that a body is sent in several chunks for which credit must be granted.
constexpr std::size_t large = 400'000;

caller_request make_request(std::size_t number) {
    caller_request request;
    request.patience = patience;
    const auto name = std::to_string(number);
    switch (number % 4) {
    case 0:
        request.target = "/answer/" + name + "/200";
        return request;
    case 1:
        request.target = "/answer/" + name + "/" + std::to_string(large);
        return request;
    case 2:
        request.key = "key-" + name;
        request.body = "small";
        break;
    default:
        request.body = std::string(large, 'b');
        request.chunked = number % 8 == 3;
        break;
    }
    request.method = "POST";
    request.target = "/effect/" + name;
    return request;
}

/// Daemons and the numbers of their frames that are to fail, one a run. The daemon with the entry handles
/// frames of every call, the other one those of the calls that it gets.
std::vector<std::pair<std::size_t, std::uint64_t>> frames_to_fail() {
    constexpr std::uint64_t at_entry = 30;
    constexpr std::uint64_t at_other = 4;
    std::vector<std::pair<std::size_t, std::uint64_t>> chosen;
    for (std::uint64_t frame = 1; frame <= at_entry; ++frame) {
        chosen.emplace_back(0, frame);
    }
    for (std::uint64_t frame = 1; frame <= at_other; ++frame) {
        chosen.emplace_back(1, frame);
    }
    return chosen;
}

/// Two daemons and the calls of one entry.
struct crowd {
    crowd() : fleet({}, 1) {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
    }

    void call(std::size_t number) {
        requests.push_back(make_request(number));
        const auto position = answers.size();
        answers.emplace_back();
        fleet.call(0, requests.back(), [this, position](caller_answer answer) {
            answers[position] = std::move(answer);
            ++ended;
        });
    }

    [[nodiscard]] bool make_calls(std::size_t first, std::size_t count) {
        for (std::size_t number = first; number < first + count; ++number) {
            call(number);
        }
        return fleet.run_until([this] { return ended == answers.size(); });
    }

    [[nodiscard]] bool is_served(std::size_t position) const {
        const auto& answer = answers[position];
        const auto& request = requests[position];
        return answer.whole && answer.status == 200 &&
               answer.body == expected_body(answer.backend, request.method, request.target, request.body);
    }

    /// Checks that a call which was not served ended in order, with a true verdict.
    void check_broken(std::size_t position) const {
        const auto& answer = answers[position];
        CHECK_FALSE(answer.timed_out);
        if (!answer.whole) {
            return;
        }
        CHECK(answer.status >= 500);
        if (answer.verdict == "not_run") {
            CHECK(fleet.runs(requests[position].target) == 0);
        }
    }

    /// Makes rounds of calls until `reached` returns true; routing decides how many reach a daemon. Returns
    /// false if no round does it.
    [[nodiscard]] bool make_calls_until(const std::function<bool()>& reached) {
        constexpr std::size_t most_rounds = 4;
        for (std::size_t round = 0; round < most_rounds && !reached(); ++round) {
            if (!make_calls(answers.size(), calls_at_once)) {
                return false;
            }
        }
        return reached();
    }

    /// Checks that at most one call was not served, that nothing is left of it and that later calls are
    /// served.
    void check_contained() {
        std::size_t broken = 0;
        for (std::size_t position = 0; position < answers.size(); ++position) {
            INFO(requests[position].method << " " << requests[position].target << " status "
                                           << answers[position].status << " " << answers[position].verdict
                                           << " whole " << answers[position].whole);
            CHECK(fleet.runs(requests[position].target) <= 1);
            if (!is_served(position)) {
                ++broken;
                check_broken(position);
            }
        }
        CHECK(broken <= 1);
        REQUIRE(fleet.settle());
        for (std::size_t index : {0, 1}) {
            CHECK(fleet.daemon(index).gate_load().running == 0);
            CHECK(fleet.daemon(index).ledger().counts().records <= answers.size());
        }
        const auto earlier = answers.size();
        REQUIRE(make_calls(earlier, 4));
        for (std::size_t position = earlier; position < answers.size(); ++position) {
            CHECK(is_served(position));
        }
    }

    wired_fleet fleet;
    std::vector<caller_request> requests;
    std::vector<caller_answer> answers;
    std::size_t ended = 0;
};

} // namespace

TEST_CASE("an exception anywhere on the path of a call ends that call alone, at once", "[failed_calls]") {
    const auto id = GENERATE(event_id::call_accepted, event_id::attempt_sent, event_id::attempt_answered,
                             event_id::call_answered, event_id::attempt_started, event_id::attempt_ran,
                             event_id::key_admitted);
    const std::uint64_t write = GENERATE(1, 2, 3);
    INFO("event " << static_cast<unsigned>(id) << ", write " << write);
    crowd callers;
    const auto& log = callers.fleet.daemon(0).log();
    callers.fleet.daemon(0).log().arm(id, write);
    REQUIRE(callers.make_calls_until([&] { return log.has_failed(); }));
    callers.check_contained();
}

TEST_CASE("an exception while a call fails ends it with a problem all the same", "[failed_calls]") {
    const auto id = GENERATE(event_id::attempt_failed, event_id::call_refused, event_id::call_may_have_run);
    INFO("event " << static_cast<unsigned>(id));
    crowd callers;
    callers.fleet.daemon(0).log().arm(id);
    caller_request request;
    request.method = "POST";
    request.target = "/effect/never";
    request.patience = 50ms;
    caller_answer answer;
    bool has_ended = false;
    callers.fleet.call(0, request, [&](caller_answer got) {
        answer = std::move(got);
        has_ended = true;
    });
    REQUIRE(callers.fleet.run_until([&] { return has_ended; }));
    CHECK(callers.fleet.daemon(0).log().has_failed());
    CHECK(answer.whole);
    CHECK(answer.status == 500);
    CHECK(answer.verdict == "may_have_run");
    REQUIRE(callers.make_calls(0, calls_at_once));
    callers.check_contained();
}

TEST_CASE("an exception before anything was sent is told as not run", "[failed_calls]") {
    crowd callers;
    callers.fleet.daemon(0).log().arm(event_id::call_accepted);
    REQUIRE(callers.make_calls(0, 1));
    CHECK(callers.answers.front().whole);
    CHECK(callers.answers.front().status == 500);
    CHECK(callers.answers.front().verdict == "not_run");
    CHECK(callers.fleet.daemon(0).entry().counters().refused == 1);
    callers.check_contained();
}

TEST_CASE("an exception while a frame is sent ends its call alone, at once", "[failed_calls][scale]") {
    const auto [index, frame] = GENERATE(from_range(frames_to_fail()));
    INFO("daemon " << index << ", frame " << frame);
    crowd callers;
    callers.fleet.daemon(index).frames().fail_send(frame);
    const auto& frames = callers.fleet.daemon(index).frames();
    REQUIRE(callers.make_calls_until([&] { return frames.has_failed_send(); }));
    callers.check_contained();
}

TEST_CASE("a frame whose handling fails ends its call alone, at once", "[failed_calls][scale]") {
    const auto [index, frame] = GENERATE(from_range(frames_to_fail()));
    INFO("daemon " << index << ", frame " << frame);
    crowd callers;
    callers.fleet.daemon(index).fail_frame(frame);
    const auto& daemon = callers.fleet.daemon(index);
    REQUIRE(callers.make_calls_until([&] { return daemon.has_failed_frame(); }));
    callers.check_contained();
}
