// Guards against callers that use up a daemon's descriptors, so that it can't connect to anyone itself.
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

/// An entry whose connections are all taken by callers.
struct full_entry {
    explicit full_entry(std::chrono::milliseconds head_patience = 1s)
        : fleet({}, 1, [=](entry::entry_options& options) { options.head_patience = head_patience; }) {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        for (std::size_t number = 0; number < most_callers; ++number) {
            callers.push_back(std::make_unique<raw_caller>(fleet.io(), fleet.daemon(0).caller_address()));
            callers.back()->read_answer();
        }
    }

    /// Makes a call on a new connection.
    void call() {
        caller_request request;
        request.target = "/answer/1/10";
        fleet.call(0, request, [this](const caller_answer& answer) { answers.push_back(answer); });
    }

    /// Number of calls that were answered with 200.
    [[nodiscard]] std::ptrdiff_t served() const {
        return std::ranges::count_if(answers,
                                     [](const auto& answer) { return answer.whole && answer.status == 200; });
    }

    [[nodiscard]] std::size_t ended() const {
        return static_cast<std::size_t>(
            std::ranges::count_if(callers, [](const auto& caller) { return caller->has_ended(); }));
    }

    wired_fleet fleet;
    std::vector<std::unique_ptr<raw_caller>> callers;
    std::vector<caller_answer> answers;
};

} // namespace

TEST_CASE("idle callers keep a new one from being served, or the longest idle isn't the one that is closed",
          "[connection_limit]") {
    full_entry entry;
    entry.call();
    REQUIRE(entry.fleet.run_until([&] { return entry.served() == 1; }));
    REQUIRE(entry.fleet.run_until([&] { return entry.callers.front()->has_ended(); }));
    CHECK_FALSE(entry.callers.back()->has_ended());
    CHECK(entry.ended() <= most_callers / 8);
}

TEST_CASE("a caller at work is closed for a new one, or the new one is never served", "[connection_limit]") {
    full_entry entry;
    for (const auto& caller : entry.callers) {
        caller->send("POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                     "Monsoonlift-Timeout-Ms: 60000\r\nContent-Length: 1\r\n\r\n");
    }
    auto& daemon = entry.fleet.daemon(0);
    REQUIRE(entry.fleet.run_until([&] { return daemon.entry().counters().in_flight == most_callers; }));
    entry.call();
    entry.call();
    const auto& log = daemon.log();
    REQUIRE(entry.fleet.run_until([&] { return log.count(logging::event_id::callers_not_accepted) > 0; }));
    CHECK(entry.ended() == 0);
    entry.callers.front()->send("a");
    entry.callers.front()->finish();
    REQUIRE(entry.fleet.run_until([&] { return entry.served() == 2; }));
    CHECK(entry.ended() <= 1);
}

TEST_CASE("callers whose heads never come whole keep new ones from being served", "[connection_limit]") {
    full_entry entry;
    for (const auto& caller : entry.callers) {
        caller->send("GET /answer/1/10 HTTP/1.1\r\nHost: x\r\n");
    }
    constexpr std::size_t calls = most_callers / 2;
    for (std::size_t call = 0; call < calls; ++call) {
        entry.call();
    }
    REQUIRE(entry.fleet.run_until([&] { return entry.answers.size() == calls; }));
    CHECK(entry.served() == calls);
}

TEST_CASE("a request that has come whole or in part is cut to make room for a new caller",
          "[connection_limit]") {
    const std::string head = "POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                             "Connection: close\r\nContent-Length: 0\r\n\r\n";
    const auto half = head.size() / 2;
    constexpr std::ptrdiff_t new_callers = most_callers / 8;
    full_entry entry(1min);
    std::vector<raw_caller*> whole;
    std::vector<raw_caller*> in_part;
    for (std::size_t number = 0; number + 4 <= entry.callers.size(); number += 4) {
        whole.push_back(entry.callers[number].get());
        in_part.push_back(entry.callers[number + 1].get());
    }
    const auto all_served = [](const std::vector<raw_caller*>& callers) {
        return std::ranges::all_of(callers, [](const auto* caller) {
            return caller->has_ended() && caller->answer().starts_with("HTTP/1.1 200");
        });
    };
    entry.fleet.run_ready();
    // NOTE: only a connection that has waited for a second is closed for another.
    std::this_thread::sleep_for(1s);
    std::ranges::for_each(in_part, [&](auto* caller) { caller->send(head.substr(0, half)); });
    std::ranges::for_each(whole, [&](auto* caller) { caller->send(head); });
    entry.fleet.run_ready();
    for (std::ptrdiff_t number = 0; number < new_callers; ++number) {
        entry.call();
    }
    REQUIRE(entry.fleet.run_until([&] { return entry.served() == new_callers; }));
    std::ranges::for_each(in_part, [&](auto* caller) { caller->send(head.substr(half)); });
    CHECK(entry.fleet.run_until([&] { return all_served(whole) && all_served(in_part); }));
    REQUIRE(entry.fleet.settle());
    CHECK(entry.fleet.runs("/effect/1") == whole.size() + in_part.size());
}
