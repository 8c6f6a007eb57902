// Guards against wrong answers, lost calls and double runs when frames between two daemons are duplicated,
// delayed, swapped, damaged or delivered to the wrong daemon.
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t calls_at_once = 8;
constexpr std::size_t calls_in_all = 48;
constexpr std::uint64_t seeds[] = {1, 2, 3};

/// A combination of faults and calls to test.
struct fault_case {
    const char* what;
    frame_faults faults;
    std::size_t body_bytes;             ///< Base size of answers and request bodies.
    std::chrono::milliseconds patience; ///< Timeout of the callers.
    bool all_answered;                  ///< Every call must get its answer in spite of the faults.
};

/// Makes concurrent calls and keeps their answers.
class concurrent_callers {
public:
    concurrent_callers(wired_fleet& fleet, const fault_case& wanted) : m_fleet(fleet), m_case(wanted) {
        for (std::size_t number = 0; number < calls_in_all; ++number) {
            m_requests.push_back(make_request(number));
        }
        m_answers.resize(calls_in_all);
    }

    /// Makes all calls, `calls_at_once` of them concurrently; false on timeout.
    bool run() {
        for (std::size_t index = 0; index < calls_at_once; ++index) {
            begin_next();
        }
        return m_fleet.run_until([this] { return m_ended == calls_in_all; });
    }

    [[nodiscard]] const std::vector<caller_request>& requests() const { return m_requests; }
    [[nodiscard]] const std::vector<caller_answer>& answers() const { return m_answers; }

private:
    [[nodiscard]] caller_request make_request(std::size_t number) const {
        caller_request request;
        request.patience = m_case.patience;
        if (number % 2 == 0) {
            request.target =
                "/answer/" + std::to_string(number) + "/" + std::to_string(m_case.body_bytes + number);
            return request;
        }
        request.method = "POST";
        request.target = "/effect/" + std::to_string(number);
        request.body = std::string(m_case.body_bytes + number, static_cast<char>('a' + number % 26));
        request.key = number % 4 == 1 ? "key-" + std::to_string(number) : std::string();
        return request;
    }

    void begin_next() {
        if (m_begun == calls_in_all) {
            return;
        }
        const auto number = m_begun++;
        m_fleet.call(number / 2 % 2, m_requests[number], [this, number](caller_answer answer) {
            m_answers[number] = std::move(answer);
            ++m_ended;
            begin_next();
        });
    }

    wired_fleet& m_fleet;
    const fault_case& m_case;
    std::vector<caller_request> m_requests;
    std::vector<caller_answer> m_answers;
    std::size_t m_begun = 0;
    std::size_t m_ended = 0;
};

/// Returns the names of the backend servers whose gates an entry chose for the target.
std::set<std::string> chosen_backends(wired_fleet& fleet, const std::string& target) {
    std::set<std::string> names;
    for (std::size_t entry : {0, 1}) {
        for (const auto& address : fleet.daemon(entry).frames().chosen_for(target)) {
            names.insert(fleet.daemon(fleet.daemon(0).id().address == address ? 0 : 1).backend().name());
        }
    }
    return names;
}

/// Checks that a complete answer is either the one to this request or a problem document.
void check_answer(wired_fleet& fleet, const caller_request& request, const caller_answer& answer) {
    CHECK_FALSE(answer.timed_out);
    if (!answer.whole) {
        return;
    }
    if (answer.status != 200) {
        // NOTE: the requests are valid and complete, so no answer may be 400.
        CHECK(answer.status > 400);
        CHECK(answer.body.starts_with(R"({"type":"urn:monsoonlift:problem:)"));
        CHECK((answer.verdict == "not_run" || answer.verdict == "may_have_run" || answer.verdict == "ran"));
        return;
    }
    CHECK(answer.verdict == "ran");
    CHECK(chosen_backends(fleet, request.target).contains(answer.backend));
    const bool is_own =
        answer.body == expected_body(answer.backend, request.method, request.target, request.body);
    CHECK(is_own);
}

/// Checks that a non-idempotent call ran at most once and that the verdict sent to its caller is true.
void check_runs(const wired_fleet& fleet, const caller_request& request, const caller_answer& answer) {
    const auto runs = fleet.runs(request.target);
    CHECK(runs <= 1);
    if (answer.whole && answer.verdict == "not_run") {
        CHECK(runs == 0);
    }
    if (answer.whole && answer.verdict == "ran") {
        CHECK(runs == 1);
    }
}

/// Makes entry 0 try this gate first, by placing the other gate in another data centre.
void send_first_to(wired_fleet& fleet, std::size_t gate) {
    membership::member other;
    other.id = fleet.daemon(1 - gate).id();
    other.service = "mappa";
    other.data_centre = "catania";
    fleet.daemon(0).entry().member_changed(other);
}

frame_faults faults_of(bool requests, bool answers) {
    frame_faults faults;
    faults.requests = requests;
    faults.answers = answers;
    return faults;
}

std::vector<fault_case> make_cases() {
    constexpr std::size_t small = 200;
    constexpr std::size_t large = 400'000;
    auto doubled = faults_of(true, true);
    doubled.doubled = 0.4;
    auto late = faults_of(true, true);
    late.late = 0.5;
    auto late_answers = faults_of(false, true);
    late_answers.late = 0.1;
    auto swapped = faults_of(true, true);
    swapped.swapped = 0.05;
    auto crossed = faults_of(true, true);
    crossed.crossed = 0.5;
    auto misdirected = faults_of(true, true);
    misdirected.misdirected = 0.5;
    auto held_up = faults_of(true, false);
    held_up.heads_only = true;
    held_up.late = 0.5;
    held_up.doubled = 0.5;
    held_up.shortest_delay = 80ms;
    held_up.longest_delay = 250ms;
    auto everything = faults_of(true, true);
    everything.doubled = everything.late = everything.swapped = everything.crossed = 0.03;
    auto doubled_seldom = doubled;
    doubled_seldom.doubled = 0.02;
    return {{"duplicated, small bodies", doubled, small, 5000ms, true},
            {"duplicated, large bodies", doubled_seldom, large, 5000ms, false},
            {"late, small bodies", late, small, 5000ms, true},
            {"late answers, large bodies", late_answers, large, 5000ms, false},
            {"swapped, small bodies", swapped, small, 5000ms, true},
            {"swapped, large bodies", swapped, large, 5000ms, false},
            {"copied to the wrong daemon, addressed to the right one", crossed, large, 5000ms, true},
            {"copied to the wrong daemon and addressed to it", misdirected, small, 5000ms, true},
            {"requests delayed beyond their callers' timeout", held_up, small, 100ms, false},
            {"everything at once, small bodies", everything, small, 1000ms, false},
            {"everything at once, large bodies", everything, large, 1000ms, false}};
}

} // namespace

TEST_CASE("frame faults never give a caller a wrong or truncated answer or a double run", "[frame_faults]") {
    for (const auto& wanted : make_cases()) {
        for (const auto seed : seeds) {
            INFO(wanted.what << ", seed " << seed);
            wired_fleet fleet(wanted.faults, seed);
            fleet.daemon(0).announce();
            fleet.daemon(1).announce();
            concurrent_callers crowd(fleet, wanted);
            REQUIRE(crowd.run());
            REQUIRE(fleet.settle());
            CHECK(fleet.injected() > 0);
            std::size_t answered = 0;
            for (std::size_t number = 0; number < calls_in_all; ++number) {
                const auto& request = crowd.requests()[number];
                const auto& answer = crowd.answers()[number];
                INFO(request.method << " " << request.target << " status " << answer.status << " "
                                    << answer.verdict << " whole " << answer.whole << " "
                                    << answer.body.substr(0, 200));
                check_answer(fleet, request, answer);
                if (request.method == "POST") {
                    check_runs(fleet, request, answer);
                }
                answered += answer.whole && answer.status == 200 ? 1 : 0;
                CHECK((!wanted.all_answered || (answer.whole && answer.status == 200)));
            }
            CHECK(answered > 0);
        }
    }
}

TEST_CASE("a request body damaged between daemons is resent or refused, never answered with 400",
          "[frame_faults]") {
    constexpr std::size_t small = 200;
    constexpr std::size_t large = 400'000;
    struct {
        const char* what;
        const char* key;
        std::size_t body_bytes;
        bool chunked;
        std::uint32_t damaged_attempts;
        unsigned status;
        const char* verdict;
        std::uint64_t runs;
    } const cases[] = {
        {"damaged once, while the entry buffers the whole body", "", small, false, 1, 200, "ran", 1},
        {"damaged once, with a key", "key-1", small, false, 1, 200, "ran", 1},
        {"damaged in every attempt", "", small, true, 1000, 503, "not_run", 0},
        {"damaged in every attempt, with a key", "key-1", small, false, 1000, 503, "not_run", 0},
        {"damaged once, body larger than the entry's buffer", "", large, false, 1, 502, "may_have_run", 0},
        {"damaged once, body larger than the entry's buffer and chunked", "", large, true, 1, 502,
         "may_have_run", 0},
        {"not damaged", "", large, false, 0, 200, "ran", 1},
        {"not damaged, chunked", "", large, true, 0, 200, "ran", 1},
    };
    for (const auto& each : cases) {
        INFO(each.what);
        frame_faults faults;
        faults.damaged_attempts = each.damaged_attempts;
        wired_fleet fleet(faults, 1);
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        caller_request request;
        request.method = "POST";
        request.target = "/effect/1";
        request.body = std::string(each.body_bytes, 'a');
        request.key = each.key;
        request.chunked = each.chunked;
        std::vector<caller_answer> answers;
        fleet.call(0, request, [&](caller_answer answer) { answers.push_back(std::move(answer)); });
        REQUIRE(fleet.run_until([&] { return answers.size() == 1; }));
        REQUIRE(fleet.settle());
        CHECK((fleet.injected() > 0) == (each.damaged_attempts > 0));
        const auto& answer = answers.front();
        INFO(answer.body.substr(0, 300));
        check_answer(fleet, request, answer);
        CHECK(answer.status == each.status);
        CHECK(answer.verdict == each.verdict);
        CHECK(fleet.runs(request.target) == each.runs);
        if (answer.status != 200) {
            CHECK_THAT(answer.body, Catch::StartsWith(R"({"type":"urn:monsoonlift:problem:body-damaged")"));
        }
    }
}

TEST_CASE("a late duplicate of a refused request does not run", "[frame_faults]") {
    auto faults = faults_of(true, false);
    faults.doubled = 1;
    faults.copies_held = true;
    for (const auto seed : seeds) {
        INFO("seed " << seed);
        wired_fleet fleet(faults, seed);
        fleet.daemon(1).announce();
        send_first_to(fleet, 0);
        std::vector<caller_answer> answers;
        std::vector<caller_request> requests;
        constexpr std::size_t calls = 8;
        for (std::size_t number = 0; number < calls; ++number) {
            caller_request request;
            request.method = "POST";
            request.target = "/effect/" + std::to_string(number);
            requests.push_back(request);
            fleet.call(0, request, [&](caller_answer answer) { answers.push_back(std::move(answer)); });
            REQUIRE(fleet.run_until([&] { return answers.size() == number + 1; }));
        }
        REQUIRE(fleet.settle());
        CHECK(fleet.daemon(0).gate_totals().refused > 0);
        fleet.daemon(0).announce();
        fleet.daemon(0).frames().release();
        REQUIRE(fleet.settle());
        for (std::size_t number = 0; number < calls; ++number) {
            INFO(requests[number].target << " status " << answers[number].status);
            check_answer(fleet, requests[number], answers[number]);
            check_runs(fleet, requests[number], answers[number]);
        }
    }
}

TEST_CASE("an answer whose body arrives after its head is forwarded completely", "[entry]") {
    constexpr std::size_t bytes = 600;
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    for (std::size_t entry : {0, 1}) {
        caller_request request;
        request.target = "/answer/late/" + std::to_string(bytes);
        caller_answer answer;
        bool ended = false;
        fleet.call(entry, request, [&](caller_answer got) {
            answer = std::move(got);
            ended = true;
        });
        REQUIRE(fleet.run_until([&] { return ended; }));
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.body == expected_body(answer.backend, "GET", request.target, ""));
    }
}
