#include "platform/configuration_codec.h"

#include "configuration/configuration_holder.h"
#include "testing/silent_log.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <string>

using namespace monsoonlift;
using namespace monsoonlift::platform;
using namespace std::chrono_literals;

namespace {

const std::string operators_text = R"({"Version":"0000000c","Limits":{"MaxHeaderBytes":16384},
  "Listeners":[
    {"Host":"maps.example","Rules":[
      {"Name":"status","Kind":"safe","TargetLatencyMs":1500,"Priority":2,"Match":{"PathPrefix":"/status/"},
       "Action":{"TrafficSplit":[{"Service":"mappa","Weight":90},{"Service":"spare","Weight":10}],
                 "TimeoutMs":1000,"MaxAttempts":3}},
      {"Name":"photo","Kind":"upload","Priority":1,"Match":{"PathPrefix":"/status/photo/"},
       "Action":{"Service":"spare"}}]},
    {"Host":"crews.example","Rules":[
      {"Name":"dispatch","Kind":"unsafe","Priority":0,"Match":{"PathPrefix":"/d/"},
       "Action":{"Service":"mappa","TimeoutMs":1200.0,"MaxAttempts":1}}]}],
  "Clusters":[{"Name":"mappa","HealthPath":"/healthz","MaxConnections":406},{"Name":"spare"}]})";

std::variant<configuration::stored_configuration, configuration_fault> decode(const std::string& text) {
    return decode_configuration(boost::json::parse(text));
}

std::string replaced(const std::string& from, const std::string& to) {
    auto text = operators_text;
    const auto at = text.find(from);
    REQUIRE(at != std::string::npos);
    return text.replace(at, from.size(), to);
}

} // namespace

TEST_CASE("an operator's configuration is translated and adopted with its routes", "[platform]") {
    const auto decoded = decode(operators_text);
    REQUIRE(std::holds_alternative<configuration::stored_configuration>(decoded));
    testing::silent_log log;
    configuration::configuration_holder holder(log);
    REQUIRE(holder.adopt(std::get<configuration::stored_configuration>(decoded)) ==
            configuration::adoption::adopted);
    CHECK(holder.revision() == 12);
    const auto rules = holder.current();
    REQUIRE(rules->routes.size() == 3);
    const auto* status = configuration::find_route(*rules, "maps.example", "/status/7");
    REQUIRE(status != nullptr);
    CHECK(status->name == "status");
    CHECK(status->rank == 2);
    CHECK(status->idempotent);
    CHECK(status->timeout == 1000ms);
    CHECK(status->latency_objective == 1500ms);
    CHECK(status->attempts == 3);
    REQUIRE(status->destinations.size() == 2);
    CHECK(status->destinations[1].weight == 10);
    const auto* photo = configuration::find_route(*rules, "maps.example", "/status/photo/1");
    REQUIRE(photo != nullptr);
    CHECK(photo->name == "photo");
    CHECK_FALSE(photo->idempotent);
    CHECK(photo->timeout == 0ms);
    CHECK(configuration::find_route(*rules, "crews.example", "/d/1")->rank == 0);
    CHECK(configuration::find_route(*rules, "crews.example", "/status/7") == nullptr);
    CHECK(configuration::find_service(*rules, "mappa")->connections == 406);
}

TEST_CASE("only routes whose requests may run more than once are idempotent", "[platform]") {
    struct kind_case {
        std::string kind;
        bool idempotent;
    };
    const auto tried = GENERATE(values<kind_case>({{"safe", true},
                                                   {"download", true},
                                                   {"unsafe", false},
                                                   {"upload", false},
                                                   {"keyed", false},
                                                   {"", false}}));
    CAPTURE(tried.kind);
    const auto decoded = decode(replaced("\"Kind\":\"safe\"", "\"Kind\":\"" + tried.kind + "\""));
    REQUIRE(std::holds_alternative<configuration::stored_configuration>(decoded));
    testing::silent_log log;
    configuration::configuration_holder holder(log);
    REQUIRE(holder.adopt(std::get<configuration::stored_configuration>(decoded)) ==
            configuration::adoption::adopted);
    const auto rules = holder.current();
    const auto* status = configuration::find_route(*rules, "maps.example", "/status/7");
    REQUIRE(status != nullptr);
    CHECK(status->idempotent == tried.idempotent);
}

namespace {

/// The rules in force once a daemon has read the operator's configuration; nullptr if it refuses it.
std::shared_ptr<const configuration::document> rules_of(const std::string& text) {
    const auto decoded = decode(text);
    REQUIRE(std::holds_alternative<configuration::stored_configuration>(decoded));
    testing::silent_log log;
    configuration::configuration_holder holder(log);
    static_cast<void>(holder.adopt(std::get<configuration::stored_configuration>(decoded)));
    return holder.current();
}

std::string with_many_routes(int count) {
    std::string rules;
    for (int number = 0; number < count; ++number) {
        rules += R"({"Name":"r-)" + std::to_string(number) + R"(","Kind":"safe","Match":{"PathPrefix":"/)" +
                 std::to_string(number) + R"(/"},"Action":{"Service":"mappa"}},)";
    }
    return replaced("\"Rules\":[", "\"Rules\":[" + rules);
}

} // namespace

// Guards against an accepted configuration that each daemon refuses for its size (CONFIG, RECOVER).
TEST_CASE("a configuration with more routes than a submitted document may have is adopted", "[platform]") {
    constexpr int added = 7'000;
    const auto text = with_many_routes(added);
    REQUIRE(text.size() < 1'048'576);
    const auto rules = rules_of(text);
    REQUIRE(rules != nullptr);
    CHECK(rules->routes.size() == added + 3);
    CHECK(configuration::find_route(*rules, "maps.example", "/6999/x")->name == "r-6999");
}

// Guards against a dropped route that stays in use, since it was the last one (CONFIG).
TEST_CASE("a configuration without routes is adopted, and one without services", "[platform]") {
    const auto no_routes =
        rules_of(R"({"Version":"0000000d","Listeners":[{"Host":"maps.example","Rules":[]}],)"
                 R"("Clusters":[{"Name":"mappa","MaxConnections":406}]})");
    REQUIRE(no_routes != nullptr);
    CHECK(no_routes->routes.empty());
    CHECK(configuration::find_service(*no_routes, "mappa") != nullptr);
    const auto nothing = rules_of(R"({"Version":"0000000e","Listeners":[],"Clusters":[]})");
    REQUIRE(nothing != nullptr);
    CHECK(nothing->services.empty());
}

TEST_CASE("a configuration with values beyond those of a submitted document is adopted", "[platform]") {
    const auto route_of = [](const std::string& from, const std::string& to) {
        const auto rules = rules_of(replaced(from, to));
        REQUIRE(rules != nullptr);
        const auto* route = configuration::find_route(*rules, "maps.example", "/status/7");
        REQUIRE(route != nullptr);
        return *route;
    };
    CHECK(route_of("\"MaxAttempts\":3", "\"MaxAttempts\":17").attempts == 16);
    CHECK(route_of("\"TimeoutMs\":1000", "\"TimeoutMs\":7200000").timeout == 1h);
    CHECK(route_of("\"TimeoutMs\":1000", "\"TimeoutMs\":0.5").timeout == 1ms);
    CHECK(route_of("\"TargetLatencyMs\":1500", "\"TargetLatencyMs\":1e9").latency_objective == 1h);
    CHECK(route_of("\"status\"", "\"" + std::string(65, 's') + ".x\"").name.size() == 67);
    CHECK(route_of("\"mappa\",\"Weight\":90", "\"mappa\",\"Weight\":4000000").destinations[1].weight == 3);
    const auto halves = route_of("\"Weight\":90},{\"Service\":\"spare\",\"Weight\":10",
                                 "\"Weight\":0.5},{\"Service\":\"spare\",\"Weight\":0.5");
    CHECK(halves.destinations[0].weight == halves.destinations[1].weight);
    CHECK(halves.destinations[0].weight > 0);
    CHECK(rules_of(replaced("\"MaxConnections\":406", "\"MaxConnections\":2000000")) != nullptr);
    CHECK(rules_of(replaced("\"/status/photo/\"", "\"/st\u00e4tus/\"")) != nullptr);
    CHECK(rules_of(replaced("{\"Name\":\"spare\"}", "{\"Name\":\"spare\"},{\"Name\":\"a.b\"}")) != nullptr);
}

TEST_CASE("the time that callers keep idle connections is lost on the way to the entries", "[platform]") {
    const auto idle_time = [](const std::string& limits) {
        const auto rules = rules_of(replaced("{\"MaxHeaderBytes\":16384}", limits));
        REQUIRE(rules != nullptr);
        return rules->caller_idle_time;
    };
    CHECK(idle_time("{\"IdleTimeoutMs\":15000}") == 15s);
    CHECK(idle_time("{\"MaxHeaderBytes\":16384,\"IdleTimeoutMs\":300000.5}") == 300'001ms);
    CHECK(idle_time("{\"IdleTimeoutMs\":1e11}") == 24h);
    CHECK(idle_time("{\"IdleTimeoutMs\":0}") == 0s);
    CHECK(idle_time("{\"IdleTimeoutMs\":null}") == 0s);
    CHECK(idle_time("{}") == 0s);
    CHECK(idle_time("null") == 0s);
}

TEST_CASE("a malformed configuration is rejected with a reason", "[platform]") {
    const std::string texts[] = {
        "7",
        "{}",
        replaced("\"0000000c\"", "\"xyz\""),
        replaced("\"0000000c\"", "\"00000000\""),
        replaced("\"0000000c\"", "12"),
        replaced("\"Kind\":\"safe\",", ""),
        replaced("\"Weight\":90", "\"Weight\":-1"),
        replaced("{\"PathPrefix\":\"/status/\"}", "\"/status/\""),
        replaced("\"Listeners\":[", "\"Listeners\":[7,"),
    };
    for (const auto& text : texts) {
        INFO(text);
        const auto decoded = decode(text);
        REQUIRE(std::holds_alternative<configuration_fault>(decoded));
        CHECK_FALSE(std::get<configuration_fault>(decoded).reason.empty());
    }
}

TEST_CASE("a destination with weight 0 gets no requests, and the others get their share", "[platform]") {
    configuration::route_rule route;
    route.destinations = {{"none", 0}, {"most", 3}, {"few", 1}, {"never", 0}};
    int few = 0;
    constexpr int points = 1000;
    for (int index = 0; index < points; ++index) {
        const auto* picked = configuration::pick_destination(route, static_cast<double>(index) / points);
        REQUIRE(picked != nullptr);
        CHECK((picked->service == "most" || picked->service == "few"));
        few += picked->service == "few" ? 1 : 0;
    }
    CHECK(few == Approx(points / 4).margin(1));
    route.destinations = {{"none", 0}};
    CHECK(configuration::pick_destination(route, 0.5) == nullptr);
}

TEST_CASE("accounts are translated without their keys, and a faulty one costs no other its service",
          "[platform]") {
    const auto decoded = decode(replaced(R"("Listeners":)", R"("Tenants":[
      {"Name":"school","ApiKeys":["k1","k2"],"Priority":1,"RatePerS":5.5,"Burst":8},
      {"Name":"employer","ApiKeys":["k2","k3"]},{"Name":"broken","ApiKeys":7},{"ApiKeys":["k4"]}],
      "Listeners":)"));
    REQUIRE(std::holds_alternative<configuration::stored_configuration>(decoded));
    const auto& stored = std::get<configuration::stored_configuration>(decoded);
    CHECK(stored.document.find("k1") == std::string::npos);
    testing::silent_log log;
    configuration::configuration_holder holder(log);
    REQUIRE(holder.adopt(stored) == configuration::adoption::adopted);
    const auto rules = holder.current();
    REQUIRE(rules->accounts);
    REQUIRE(rules->accounts->accounts.size() == 2);
    const auto& school = rules->accounts->accounts.front();
    CHECK(school.rank == core::class_rank{1});
    CHECK(school.limit.rate_per_second == 5.5);
    CHECK(school.limit.burst == 8);
    CHECK(accounts::find_by_key(*rules->accounts, "k2")->name == "school");
    const auto* employer = accounts::find_by_key(*rules->accounts, "k3");
    REQUIRE(employer != nullptr);
    CHECK_FALSE(employer->rank);
    CHECK(employer->limit.rate_per_second == 0);
    REQUIRE(rules->left_out.size() == 3);
    CHECK(rules->left_out[1] == "tenant broken: ApiKeys is not a list");
    CHECK(rules->left_out[2] == "a tenant has no Name");
}

TEST_CASE("a key that can't be read is left out, and the other keys of its account go on working",
          "[platform]") {
    const auto decoded = decode(replaced(
        R"("Listeners":)", R"("Tenants":[{"Name":"school","ApiKeys":["k1",7,null,""]}],"Listeners":)"));
    REQUIRE(std::holds_alternative<configuration::stored_configuration>(decoded));
    testing::silent_log log;
    configuration::configuration_holder holder(log);
    REQUIRE(holder.adopt(std::get<configuration::stored_configuration>(decoded)) ==
            configuration::adoption::adopted);
    const auto rules = holder.current();
    CHECK(accounts::find_by_key(*rules->accounts, "k1") != nullptr);
    REQUIRE(rules->left_out.size() == 2);
    CHECK(rules->left_out[0] == "tenant school: 2 keys that are not strings");
    CHECK(rules->left_out[1] == "a key of account \"school\" that is empty");
}

TEST_CASE("callers need keys only if the configuration lists accounts, even none", "[platform]") {
    testing::silent_log log;
    const auto rules_of = [&](const std::string& text) {
        configuration::configuration_holder holder(log);
        REQUIRE(holder.adopt(std::get<configuration::stored_configuration>(decode(text))) ==
                configuration::adoption::adopted);
        return holder.current();
    };
    CHECK_FALSE(rules_of(operators_text)->accounts);
    CHECK(rules_of(replaced(R"("Listeners":)", R"("Tenants":[],"Listeners":)"))->accounts);
    const auto open = rules_of(replaced(R"("Priority":2,)", R"("Priority":2,"Public":true,)"));
    CHECK(configuration::find_route(*open, "maps.example", "/status/7")->is_public);
    CHECK_FALSE(configuration::find_route(*open, "crews.example", "/d/7")->is_public);
}
