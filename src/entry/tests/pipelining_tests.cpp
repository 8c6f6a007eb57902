// Guards against pipelined requests that are served one after another, answered out of order, or run although
// no answer to them can be sent (LOST).
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t most_pipelined = 4;
constexpr std::size_t most_held_bytes = 10'000;

/// Limit in which nothing may be at work any more for a caller that has gone.
constexpr std::chrono::milliseconds cancel_limit = 500ms;

std::string request(const std::string& line, const std::string& more_headers = {},
                    std::chrono::milliseconds timeout = 1min) {
    return line + " HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\nMonsoonlift-Timeout-Ms: " +
           std::to_string(timeout.count()) + "\r\n" + more_headers + "\r\n";
}

std::string get(const std::string& target) {
    return request("GET " + target);
}

std::string post(const std::string& target, const std::string& body = {}) {
    return request("POST " + target, "Content-Length: " + std::to_string(body.size()) + "\r\n") + body;
}

/// Number of answers with this status line.
std::size_t count(const std::string& answers, std::string_view status = "HTTP/1.1 200") {
    std::size_t found = 0;
    for (auto at = answers.find(status); at != std::string::npos; at = answers.find(status, at + 1)) {
        ++found;
    }
    return found;
}

/// Whether these texts are found in this order.
bool in_order(const std::string& answers, const std::vector<std::string>& texts) {
    std::size_t at = 0;
    for (const auto& text : texts) {
        at = answers.find(text, at);
        if (at == std::string::npos) {
            return false;
        }
    }
    return true;
}

/// A caller that pipelines requests to the first of two daemons.
struct pipeline {
    explicit pipeline(const std::function<void(entry::entry_options&)>& adjust = [](auto&) {})
        : fleet({}, 1, [&](entry::entry_options& options) {
              options.most_pipelined = most_pipelined;
              options.most_held_bytes = most_held_bytes;
              adjust(options);
          }) {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        caller.emplace(fleet.io(), fleet.daemon(0).caller_address());
        caller->read_answer();
    }

    [[nodiscard]] std::uint64_t arrived() {
        return fleet.daemon(0).gate_totals().arrived + fleet.daemon(1).gate_totals().arrived;
    }

    [[nodiscard]] std::uint64_t gates_at_work() {
        return fleet.daemon(0).gate_totals().in_flight + fleet.daemon(1).gate_totals().in_flight;
    }

    [[nodiscard]] std::uint64_t at_work() {
        return fleet.daemon(0).entry().counters().in_flight + gates_at_work();
    }

    bool reaches_gates(std::uint64_t requests) {
        return fleet.run_until([&] { return arrived() == requests; });
    }

    bool is_answered(std::size_t answers) {
        return fleet.run_until([&] { return count(caller->answer()) == answers; });
    }

    bool has_ended() {
        return fleet.run_until([&] { return caller->has_ended(); });
    }

    /// Runs the daemons for a while in which something might happen that must not.
    void go_on(std::chrono::milliseconds time = 200ms) {
        boost::asio::steady_timer pause(fleet.io(), time);
        bool is_over = false;
        pause.async_wait([&](const boost::system::error_code&) { is_over = true; });
        REQUIRE(fleet.run_until([&] { return is_over; }));
    }

    void release() {
        fleet.daemon(0).backend().release_answers();
        fleet.daemon(1).backend().release_answers();
    }

    wired_fleet fleet;
    std::optional<raw_caller> caller;
};

} // namespace

TEST_CASE("pipelined requests are served one after another or answered out of order", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + get("/answer/2/20") + get("/answer/3/30"));
    REQUIRE(piped.reaches_gates(3));
    piped.go_on();
    CHECK(count(piped.caller->answer()) == 0);
    piped.release();
    REQUIRE(piped.is_answered(3));
    REQUIRE(piped.fleet.settle());
    CHECK(
        in_order(piped.caller->answer(), {"/answer/held/100", "0\r\n\r\n", "/answer/2/20", "/answer/3/30"}));
    piped.caller->send(get("/answer/4/40"));
    CHECK(piped.is_answered(4));
}

TEST_CASE("fast answers behind a slow one are lost or overtake it", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/late/100"));
    REQUIRE(piped.reaches_gates(1));
    piped.caller->send(get("/answer/2/20"));
    piped.caller->send(get("/answer/3/30"));
    REQUIRE(piped.is_answered(3));
    CHECK(in_order(piped.caller->answer(), {"/answer/late/100", "/answer/2/20", "/answer/3/30"}));
}

TEST_CASE("a request behind a closing answer is forwarded or answered", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + request("GET /answer/2/20", "Connection: close\r\n") +
                       get("/answer/3/30"));
    REQUIRE(piped.reaches_gates(2));
    piped.go_on();
    piped.release();
    REQUIRE(piped.has_ended());
    CHECK(count(piped.caller->answer()) == 2);
    CHECK(piped.caller->answer().find("/answer/3/30") == std::string::npos);
    REQUIRE(piped.fleet.settle());
    CHECK(piped.arrived() == 2);
}

TEST_CASE("requests in flight behind an answer that turns out to close the connection go on or are answered",
          "[pipelining]") {
    pipeline piped;
    const std::string old_head = " HTTP/1.0\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                                 "Connection: keep-alive\r\n\r\n";
    piped.caller->send("GET /answer/held/400000" + old_head + get("/answer/never") + get("/answer/never"));
    REQUIRE(piped.fleet.run_until([&] { return count(piped.caller->answer(), "HTTP/1.0 200") == 1; }));
    REQUIRE(piped.fleet.run_until([&] { return piped.gates_at_work() == 1; }));
    piped.caller->send(get("/answer/4/40"));
    piped.go_on();
    piped.release();
    REQUIRE(piped.fleet.run_until([&] { return piped.at_work() == 0; }));
    piped.caller->finish();
    REQUIRE(piped.has_ended());
    CHECK(piped.caller->answer().size() > 400000);
    REQUIRE(piped.fleet.settle());
    CHECK(count(piped.caller->answer(), "HTTP/1.") == 1);
    CHECK(piped.arrived() <= 3);
    CHECK(piped.fleet.daemon(0).entry().counters().calls == 3);
}

TEST_CASE("a request that isn't idempotent begins beside others, or others begin beside it", "[pipelining]") {
    pipeline piped;
    const auto body = GENERATE(as<std::string>{}, "", "body");
    piped.caller->send(get("/answer/held/100") + post("/effect/1", body) + get("/answer/3/30"));
    REQUIRE(piped.reaches_gates(1));
    piped.go_on();
    CHECK(piped.arrived() == 1);
    CHECK(piped.fleet.runs("/effect/1") == 0);
    piped.release();
    REQUIRE(piped.is_answered(3));
    CHECK(piped.fleet.runs("/effect/1") == 1);
    CHECK(in_order(piped.caller->answer(), {"/answer/held/100", "/effect/1", "/answer/3/30"}));
}

TEST_CASE("a request behind one that isn't idempotent begins before its answer", "[pipelining]") {
    pipeline piped;
    piped.caller->send(post("/effect/1/never") + get("/answer/2/20"));
    REQUIRE(piped.reaches_gates(1));
    piped.go_on();
    CHECK(piped.arrived() == 1);
    CHECK(piped.fleet.daemon(0).entry().counters().calls == 1);
    // A gate that is destroyed with a run in progress is never freed, as the two refer to each other.
    piped.caller->finish();
    REQUIRE(piped.fleet.run_until([&] { return piped.at_work() == 0; }));
}

TEST_CASE("requests of a caller that has left go on", "[pipelining]") {
    pipeline piped;
    SECTION("all are idempotent") {
        piped.caller->send(get("/answer/never") + get("/answer/never") + get("/answer/never"));
        REQUIRE(piped.reaches_gates(3));
    }
    SECTION("more of them than are read") {
        for (std::size_t sent = 0; sent < 2 * most_pipelined; ++sent) {
            piped.caller->send(get("/answer/never"));
        }
        REQUIRE(piped.reaches_gates(most_pipelined));
    }
    SECTION("one waits to run alone") {
        piped.caller->send(get("/answer/never") + post("/effect/1", "body") + get("/answer/never"));
        REQUIRE(piped.reaches_gates(1));
    }
    SECTION("requests are unread behind one that runs alone") {
        piped.caller->send(post("/effect/1/never") + get("/answer/never"));
        REQUIRE(piped.reaches_gates(1));
    }
    SECTION("the last one is malformed") {
        piped.caller->send(get("/answer/never") + "no request\r\n\r\n");
        REQUIRE(piped.reaches_gates(1));
    }
    piped.go_on();
    piped.caller->finish();
    const auto left = std::chrono::steady_clock::now();
    REQUIRE(piped.fleet.run_until([&] { return piped.at_work() == 0; }));
    CHECK(std::chrono::steady_clock::now() - left < cancel_limit);
    CHECK(piped.fleet.runs("/effect/1") == 0);
}

TEST_CASE("more requests are in progress than the bound allows", "[pipelining]") {
    pipeline piped;
    std::string requests;
    for (std::size_t sent = 0; sent < most_pipelined + 3; ++sent) {
        requests += get("/answer/held/100");
    }
    piped.caller->send(requests);
    REQUIRE(piped.reaches_gates(most_pipelined));
    piped.go_on();
    CHECK(piped.fleet.daemon(0).entry().counters().calls == most_pipelined);
    REQUIRE(piped.fleet.run_until([&] {
        piped.release();
        return count(piped.caller->answer()) == most_pipelined + 3;
    }));
}

TEST_CASE("requests are read although the answers that wait are as many bytes as the bound allows",
          "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + get("/answer/2/" + std::to_string(most_held_bytes)));
    REQUIRE(piped.reaches_gates(2));
    piped.go_on();
    // NOTE: one more head is read, since the read was pending before the bound was reached.
    piped.caller->send(get("/answer/3/30") + get("/answer/4/40"));
    piped.go_on();
    CHECK(piped.fleet.daemon(0).entry().counters().calls <= 3);
    piped.release();
    REQUIRE(piped.is_answered(4));
}

TEST_CASE("a streamed answer that waits for its turn is taken from the gate or lost", "[pipelining]") {
    constexpr std::size_t large = 2'000'000;
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + get("/answer/2/" + std::to_string(large)));
    REQUIRE(piped.reaches_gates(2));
    piped.go_on();
    CHECK(piped.caller->answer().size() < large);
    piped.release();
    REQUIRE(piped.fleet.run_until([&] { return piped.caller->answer().size() > large; }));
    REQUIRE(piped.fleet.settle());
    CHECK(count(piped.caller->answer()) == 2);
}

TEST_CASE("a request behind a slow one has the time limit of the slow one or none", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + request("GET /answer/never", {}, 300ms));
    REQUIRE(piped.reaches_gates(2));
    REQUIRE(piped.fleet.run_until([&] { return piped.gates_at_work() == 1; }));
    piped.release();
    REQUIRE(piped.fleet.run_until([&] { return count(piped.caller->answer(), "HTTP/1.1 504") == 1; }));
    CHECK(in_order(piped.caller->answer(), {"HTTP/1.1 200", "HTTP/1.1 504"}));
}

TEST_CASE("the time limit of a request that has to wait begins with its turn", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100"));
    REQUIRE(piped.reaches_gates(1));
    piped.caller->send(request("POST /effect/1", "Content-Length: 0\r\n", 300ms) +
                       request("POST /effect/2", "Content-Length: 0\r\n", 300ms));
    piped.go_on(50ms);
    // NOTE: this one stays in the socket, as the connection isn't read while another waits to run alone.
    piped.caller->send(request("POST /effect/3", "Content-Length: 0\r\n", 300ms));
    piped.go_on(600ms);
    piped.release();
    REQUIRE(piped.fleet.run_until([&] { return count(piped.caller->answer(), "HTTP/1.1 ") == 4; }));
    CHECK(count(piped.caller->answer(), "HTTP/1.1 504") == 3);
    CHECK(piped.fleet.runs("/effect/1") + piped.fleet.runs("/effect/2") + piped.fleet.runs("/effect/3") == 0);
    CHECK(piped.caller->answer().find("Monsoonlift-Verdict: not_run") != std::string::npos);
}

TEST_CASE("a malformed head takes the answers of the good requests before it", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/held/100") + get("/answer/2/20") + "no request\r\n\r\n" +
                       get("/answer/3/30"));
    REQUIRE(piped.reaches_gates(2));
    piped.go_on();
    piped.release();
    REQUIRE(piped.fleet.run_until([&] { return count(piped.caller->answer(), "HTTP/1.1 400") == 1; }));
    CHECK(in_order(piped.caller->answer(), {"/answer/held/100", "/answer/2/20", "HTTP/1.1 400"}));
    piped.caller->finish();
    REQUIRE(piped.has_ended());
    CHECK(count(piped.caller->answer()) == 2);
    CHECK(piped.arrived() == 2);
}

TEST_CASE("a planned stop leaves requests unanswered that were read", "[pipelining]") {
    pipeline piped;
    piped.caller->send(get("/answer/never") + get("/answer/2/20") + get("/answer/3/30"));
    REQUIRE(piped.reaches_gates(3));
    auto& entry = piped.fleet.daemon(0).entry();
    entry.close_connections_after_answers();
    entry.stop_accepting();
    entry.close_idle_connections();
    piped.go_on();
    entry.refuse_all_calls();
    entry.cancel_all_attempts();
    REQUIRE(piped.fleet.run_until([&] { return count(piped.caller->answer(), "HTTP/1.1") == 3; }));
    CHECK(in_order(piped.caller->answer(), {"HTTP/1.1 504", "/answer/2/20", "/answer/3/30"}));
    // The last answer alone announces the end, since a caller sends requests behind it again.
    CHECK(count(piped.caller->answer(), "Connection: close") == 1);
    CHECK(piped.caller->answer().find("Connection: close") > piped.caller->answer().find("/answer/2/20"));
    piped.caller->finish();
    REQUIRE(piped.has_ended());
}

TEST_CASE("pipelined requests run side by side though the entry is told not to", "[pipelining]") {
    pipeline piped([](entry::entry_options& options) { options.most_pipelined = 1; });
    piped.caller->send(get("/answer/held/100") + get("/answer/2/20"));
    REQUIRE(piped.reaches_gates(1));
    piped.go_on();
    CHECK(piped.arrived() == 1);
    piped.release();
    REQUIRE(piped.is_answered(2));
}
