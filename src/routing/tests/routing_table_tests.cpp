#include "routing/routing_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace monsoonlift::routing;
using namespace std::chrono_literals;
using monsoonlift::admission::shed_level;
using monsoonlift::core::endpoint_id;
using monsoonlift::core::incarnation;
using monsoonlift::core::steady_time;

namespace {

const steady_time start{1h};

endpoint_id id_of(int number, std::uint64_t life = 1) {
    return {"10.0.0." + std::to_string(number) + ":7000", incarnation{life}};
}

/// A table with two local and two remote endpoints of one service: 0 and 1 in palermo, 2 and 3 in catania.
routing_table four_endpoints() {
    routing_table table;
    table.data_centre = "palermo";
    for (int number = 0; number < 4; ++number) {
        upsert(table, id_of(number), "mappa", number < 2 ? "palermo" : "catania", false, true, start);
    }
    return table;
}

route_request idempotent_request() {
    route_request request;
    request.service = "mappa";
    request.context.idempotent = true;
    request.context.rank = 1;
    return request;
}

void answer(routing_table& table, const endpoint_id& id, steady_time now, std::chrono::milliseconds latency,
            bool succeeded = true, load_report report = {{}, 1, 0, 20}) {
    record_sent(table, id);
    attempt_result result;
    result.succeeded = succeeded;
    result.latency = latency;
    result.report = report;
    record_result(table, id, result, now);
}

/// Returns the share of 2000 choices that fell on each endpoint, by address; choices leave the table
/// unchanged.
std::map<std::string, double> shares(routing_table& table, steady_time now) {
    constexpr int choices = 2000;
    random_engine random(1);
    std::map<std::string, double> found;
    for (int index = 0; index < choices; ++index) {
        const auto choice = choose(table, idempotent_request(), random, now);
        REQUIRE(choice.endpoint.has_value());
        found[choice.endpoint->address] += 1.0 / choices;
    }
    return found;
}

} // namespace

TEST_CASE("a call without a route gets the wrong reason", "[routing]") {
    random_engine random(1);
    auto table = four_endpoints();
    auto request = idempotent_request();
    SECTION("the service is unknown") {
        request.service = "archivio";
        REQUIRE(choose(table, request, random, start).reason == no_route::unknown_service);
    }
    SECTION("all endpoints were tried before") {
        request.excluded = {id_of(0), id_of(1), id_of(2), id_of(3)};
        REQUIRE(choose(table, request, random, start).reason == no_route::all_excluded);
    }
    SECTION("most endpoints would shed the call") {
        for (int number = 0; number < 3; ++number) {
            answer(table, id_of(number), start, 10ms, true, {shed_level{1, 0}, 20, 30, 20});
        }
        answer(table, id_of(3), start, 10ms);
        const auto choice = choose(table, request, random, start);
        REQUIRE(choice.reason == no_route::shed);
        REQUIRE_FALSE(choice.endpoint.has_value());
        request.context.rank = 0;
        REQUIRE(choose(table, request, random, start).endpoint.has_value());
        request.context.rank = 1;
        REQUIRE(choose(table, request, random, start + 1s).endpoint.has_value());
    }
    REQUIRE_FALSE(choose(table, request, random, start).endpoint == id_of(9));
}

TEST_CASE("calls are sent to draining or unreachable endpoints", "[routing]") {
    auto table = four_endpoints();
    upsert(table, id_of(0), "mappa", "palermo", true, true, start);
    upsert(table, id_of(2), "mappa", "catania", false, false, start);
    const auto found = shares(table, start);
    REQUIRE(found.count(id_of(0).address) == 0);
    REQUIRE(found.count(id_of(2).address) == 0);
}

TEST_CASE("calls are sent to overloaded, slow or failing endpoints, or needlessly to remote ones",
          "[routing]") {
    struct endpoint_history {
        std::chrono::milliseconds latency;
        int failures;
        load_report report;
    };
    struct preference_case {
        std::array<endpoint_history, 4> known;
        double least_local; ///< Share of endpoints 0 and 1 together.
        double most_local;
        double most_first; ///< Share of endpoint 0.
    };
    const load_report calm{{}, 2, 0, 20};
    const load_report busy{{}, 20, 10, 20};
    const preference_case cases[] = {
        // no endpoint is overloaded: local ones are preferred
        {{{{10ms, 0, calm}, {10ms, 0, calm}, {18ms, 0, calm}, {18ms, 0, calm}}}, 0.98, 1, 0.7},
        // both local endpoints are overloaded
        {{{{10ms, 0, busy}, {10ms, 0, busy}, {18ms, 0, calm}, {18ms, 0, calm}}}, 0, 0.02, 0.02},
        // one local endpoint is ten times slower, although it reports a low load
        {{{{100ms, 0, calm}, {10ms, 0, calm}, {18ms, 0, calm}, {18ms, 0, calm}}}, 0.98, 1, 0.02},
        // one local endpoint fails quickly
        {{{{1ms, 20, calm}, {10ms, 0, calm}, {18ms, 0, calm}, {18ms, 0, calm}}}, 0.98, 1, 0.02},
    };
    for (const auto& tried : cases) {
        auto table = four_endpoints();
        for (int number = 0; number < 4; ++number) {
            const auto& known = tried.known.at(static_cast<std::size_t>(number));
            answer(table, id_of(number), start, known.latency, true, known.report);
            for (int failure = 0; failure < known.failures; ++failure) {
                answer(table, id_of(number), start, known.latency, false, known.report);
            }
        }
        auto found = shares(table, start);
        const double local = found[id_of(0).address] + found[id_of(1).address];
        REQUIRE(local >= tried.least_local);
        REQUIRE(local <= tried.most_local + 1e-9);
        REQUIRE(found[id_of(0).address] <= tried.most_first);
    }
}

TEST_CASE("a server that was slow gets too many probes, or no calls after it has recovered", "[routing]") {
    auto table = four_endpoints();
    for (int number = 0; number < 4; ++number) {
        answer(table, id_of(number), start, number == 0 ? 500ms : 10ms);
    }
    random_engine random(1);
    auto now = start;
    int probes = 0;
    int calls = 0;
    while (table.endpoints[0].latency_s > 0.02) {
        now += 1ms;
        const auto choice = choose(table, idempotent_request(), random, now);
        probes += choice.endpoint == id_of(0) ? 1 : 0;
        ++calls;
        REQUIRE(calls < 10000);
        answer(table, *choice.endpoint, now, 10ms);
    }
    REQUIRE(probes <= calls / 50 + 5);
}

TEST_CASE("a non-idempotent call is used as a probe", "[routing]") {
    auto table = four_endpoints();
    random_engine random(1);
    for (int number = 1; number < 4; ++number) {
        answer(table, id_of(number), start + 10s, 10ms);
    }
    answer(table, id_of(0), start, 500ms);
    auto request = idempotent_request();
    request.context.idempotent = false;
    for (int index = 0; index < 2000; ++index) {
        REQUIRE(choose(table, request, random, start + 10s).endpoint != id_of(0));
    }
}

TEST_CASE("endpoints are avoided although all fail alike", "[routing]") {
    auto table = four_endpoints();
    for (int round = 0; round < 50; ++round) {
        for (int number = 0; number < 4; ++number) {
            answer(table, id_of(number), start, 10ms, false);
        }
    }
    const auto found = shares(table, start);
    REQUIRE(found.at(id_of(0).address) > 0.3);
    REQUIRE(found.at(id_of(1).address) > 0.3);
}

TEST_CASE("a new incarnation inherits the state of an earlier one or is changed by its late results",
          "[routing]") {
    auto table = four_endpoints();
    answer(table, id_of(0), start, 500ms, false);
    upsert(table, id_of(0, 2), "mappa", "palermo", false, true, start);
    upsert(table, id_of(0, 1), "mappa", "palermo", true, false, start);
    REQUIRE(table.endpoints.size() == 4);
    REQUIRE(table.endpoints[0].id == id_of(0, 2));
    REQUIRE(table.endpoints[0].success == 1);
    REQUIRE_FALSE(table.endpoints[0].draining);
    answer(table, id_of(0, 1), start, 500ms, false);
    REQUIRE(table.endpoints[0].success == 1);
}

TEST_CASE("the indexes are wrong after an endpoint changes its service or is removed", "[routing]") {
    auto table = four_endpoints();
    random_engine random(1);
    upsert(table, id_of(1), "archivio", "palermo", false, true, start);
    auto request = idempotent_request();
    request.service = "archivio";
    REQUIRE(choose(table, request, random, start).endpoint == id_of(1));
    remove(table, id_of(0));
    REQUIRE(choose(table, request, random, start).endpoint == id_of(1));
    remove(table, id_of(1));
    REQUIRE(choose(table, request, random, start).reason == no_route::unknown_service);
    REQUIRE(table.endpoints.size() == 2);
}

TEST_CASE("a tried, draining or unreachable endpoint counts as untried", "[routing]") {
    struct untried_case {
        const char* what;
        std::vector<int> tried;
        std::vector<int> draining;
        std::vector<int> unreachable;
        bool left;
    };
    const untried_case cases[] = {
        {"nothing tried", {}, {}, {}, true},
        {"one left", {0, 1, 2}, {}, {}, true},
        {"all tried", {0, 1, 2, 3}, {}, {}, false},
        {"the one left is about to stop", {0, 1, 2}, {3}, {}, false},
        {"the one left can't be reached", {0, 1, 2}, {}, {3}, false},
        {"those left can't take it", {0, 1}, {2}, {3}, false},
    };
    for (const auto& one : cases) {
        INFO(one.what);
        auto table = four_endpoints();
        auto request = idempotent_request();
        for (const int number : one.tried) {
            request.excluded.push_back(id_of(number));
        }
        for (const int number : one.draining) {
            upsert(table, id_of(number), "mappa", "palermo", true, true, start);
        }
        for (const int number : one.unreachable) {
            upsert(table, id_of(number), "mappa", "palermo", false, false, start);
        }
        CHECK(has_untried(table, request) == one.left);
        request.service = "squadre";
        CHECK_FALSE(has_untried(table, request));
    }
}

TEST_CASE("an endpoint that received mostly long calls is considered slow", "[routing]") {
    auto table = four_endpoints();
    auto now = start;
    for (int round = 0; round < 200; ++round) {
        now += 10ms;
        for (int number = 0; number < 4; ++number) {
            const bool is_long = number == 0 ? round % 5 != 0 : round % 5 == 0;
            attempt_result result;
            result.latency = is_long ? 300ms : 20ms;
            result.kind = is_long ? "report" : "lookup";
            result.report = load_report{{}, 1, 0, 20};
            record_sent(table, id_of(number));
            record_result(table, id_of(number), result, now);
        }
    }
    const double gap = table.endpoints[0].latency_s / table.endpoints[1].latency_s;
    CHECK(gap > 0.7);
    CHECK(gap < 1.4);
}

TEST_CASE("calls leave the data centre for a small gain, or stay although their time is short", "[routing]") {
    struct margin_case {
        std::chrono::milliseconds local;
        std::chrono::milliseconds remote;
        std::chrono::milliseconds time_left;
        bool stays;
    };
    const margin_case cases[] = {
        {100ms, 90ms, 5000ms, true}, {100ms, 60ms, 5000ms, true}, {100ms, 30ms, 5000ms, false},
        {100ms, 60ms, 150ms, false}, {90ms, 100ms, 150ms, true},
    };
    for (const auto& tried : cases) {
        auto table = four_endpoints();
        for (int number = 0; number < 4; ++number) {
            answer(table, id_of(number), start, number < 2 ? tried.local : tried.remote);
        }
        random_engine random(1);
        auto request = idempotent_request();
        request.context.idempotent = false;
        request.context.deadline = start + tried.time_left;
        for (int index = 0; index < 100; ++index) {
            const auto choice = choose(table, request, random, start);
            REQUIRE(choice.endpoint);
            CHECK((*choice.endpoint == id_of(0) || *choice.endpoint == id_of(1)) == tried.stays);
        }
    }
}
