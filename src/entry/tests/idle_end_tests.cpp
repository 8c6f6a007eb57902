// Guards against the end of an idle connection that is decided while a request is in its buffers: the request
// runs and its caller's connection is cut (LOST).
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t connections = 40;
constexpr std::chrono::milliseconds idle_patience = 2s;

constexpr char first_request[] = "GET /answer/1/10 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n\r\n";
constexpr char request[] = "POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                           "Connection: close\r\nContent-Length: 0\r\n\r\n";

std::ptrdiff_t successes(const std::string& answers) {
    constexpr std::string_view success = "HTTP/1.1 200";
    std::ptrdiff_t found = 0;
    for (auto at = answers.find(success); at != std::string::npos; at = answers.find(success, at + 1)) {
        ++found;
    }
    return found;
}

/// Callers that have had an answer each; their kept connections wait for the next request.
struct idle_callers {
    explicit idle_callers(std::size_t count = connections, std::chrono::milliseconds head_patience = 1min)
        : fleet({}, 1, [=](entry::entry_options& options) {
              options.idle_patience = idle_patience;
              options.head_patience = head_patience;
          }) {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        while (callers.size() < count) {
            callers.push_back(std::make_unique<raw_caller>(fleet.io(), fleet.daemon(0).caller_address()));
            callers.back()->read_answer();
            callers.back()->send(first_request);
        }
        REQUIRE(fleet.run_until([&] {
            return std::ranges::all_of(callers, [](const auto& caller) { return caller->has_head(); });
        }));
        fleet.run_ready();
    }

    /// Runs nothing of the daemon while `sent` happens and until the idle time of every connection is over.
    void stand_still(const std::function<void()>& sent) {
        const auto until = std::chrono::steady_clock::now() + idle_patience;
        sent();
        std::this_thread::sleep_until(until);
    }

    /// Number of callers whose second request was answered with 200.
    [[nodiscard]] std::ptrdiff_t served() const {
        return std::ranges::count_if(callers,
                                     [](const auto& caller) { return successes(caller->answer()) == 2; });
    }

    [[nodiscard]] bool all_ended() const {
        return std::ranges::all_of(callers, [](const auto& caller) { return caller->has_ended(); });
    }

    wired_fleet fleet;
    std::vector<std::unique_ptr<raw_caller>> callers;
};

} // namespace

TEST_CASE("a request that meets the end of its connection's idle time runs and is cut", "[idle_end]") {
    idle_callers idle;
    idle.stand_still([&] {
        for (const auto& caller : idle.callers) {
            caller->send(request);
        }
    });
    REQUIRE(idle.fleet.run_until([&] { return idle.all_ended(); }));
    REQUIRE(idle.fleet.settle());
    CHECK(idle.served() == connections);
    CHECK(idle.fleet.runs("/effect/1") == connections);
}

TEST_CASE("a request that has arrived in part as its connection's idle time ends is cut", "[idle_end]") {
    idle_callers idle;
    const std::string head = request;
    const auto half = head.size() / 2;
    idle.stand_still([&] {
        for (const auto& caller : idle.callers) {
            caller->send(head.substr(0, half));
        }
    });
    idle.fleet.run_ready();
    for (const auto& caller : idle.callers) {
        caller->send(head.substr(half));
    }
    REQUIRE(idle.fleet.run_until([&] { return idle.all_ended(); }));
    CHECK(idle.served() == connections);
}

TEST_CASE("a head that never comes whole is not answered, or keeps its connection open", "[idle_end]") {
    idle_callers idle(1, 100ms);
    idle.callers.front()->send("POST /effect/1 HTTP/1.1\r\nHost: x\r\n");
    REQUIRE(idle.fleet.run_until([&] { return idle.all_ended(); }));
    const auto& answers = idle.callers.front()->answer();
    const auto refusal = answers.find("HTTP/1.1 408");
    REQUIRE(refusal != std::string::npos);
    CHECK(answers.find("Monsoonlift-Verdict: not_run", refusal) != std::string::npos);
}

TEST_CASE("a connection on which nothing arrives outlives its idle time", "[idle_end]") {
    idle_callers idle;
    CHECK(idle.fleet.run_until([&] { return idle.all_ended(); }));
    CHECK(idle.fleet.daemon(0).entry().counters().calls == connections);
}

TEST_CASE("a request in the buffers of a connection is cut by the close of idle connections", "[idle_end]") {
    idle_callers idle;
    for (const auto& caller : idle.callers) {
        caller->send(request);
    }
    idle.fleet.daemon(0).entry().close_idle_connections();
    REQUIRE(idle.fleet.run_until([&] { return idle.all_ended(); }));
    REQUIRE(idle.fleet.settle());
    CHECK(idle.served() == connections);
    CHECK(idle.fleet.runs("/effect/1") == connections);
}
