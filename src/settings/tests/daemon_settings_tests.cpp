#include "settings/daemon_settings.h"

#include "settings/changed_settings.h"
#include "settings/text_node.h"

#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace monsoonlift::settings;

namespace {

const std::string valid = "name: d1\n"
                          "fleet: sicily\n"
                          "data_centre: palermo\n"
                          "admin_token: secret\n"
                          "caller_address: 127.0.0.1:0\n"
                          "admin_address: 127.0.0.1:0\n"
                          "transport_address: 127.0.0.1:0\n"
                          "membership_address: 127.0.0.1:0\n"
                          "platform_address: 127.0.0.1:9000\n";

/// A line that makes the valid settings invalid, and the error expected for it.
struct bad_case {
    std::string extra;
    std::string path;
    int line;
    std::string found;
    std::string allowed_part;
};

} // namespace

TEST_CASE("complete settings are read and absent keys get their defaults", "[settings]") {
    const auto parsed = parse_daemon_settings(valid + "workers: 4\ndefault_patience: 250ms\n");
    const auto* settings = std::get_if<daemon_settings>(&parsed);
    REQUIRE(settings != nullptr);
    REQUIRE(settings->workers == 4);
    REQUIRE(settings->default_patience == std::chrono::milliseconds(250));
    REQUIRE(settings->gone_object_patience == std::chrono::minutes(5));
    REQUIRE(settings->log_level == "info");
}

TEST_CASE("the advertised transport address and the source IP are optional and read", "[settings]") {
    const auto plain = parse_daemon_settings(valid);
    REQUIRE(std::get<daemon_settings>(plain).advertised_transport_address.empty());
    REQUIRE(std::get<daemon_settings>(plain).transport_source_ip.empty());
    const auto parsed = parse_daemon_settings(
        valid + "advertised_transport_address: 192.0.2.1:7000\ntransport_source_ip: 10.0.0.1\n");
    REQUIRE(std::get<daemon_settings>(parsed).advertised_transport_address == "192.0.2.1:7000");
    REQUIRE(std::get<daemon_settings>(parsed).transport_source_ip == "10.0.0.1");
}

// Guards against a daemon that ends at each start since a bound of its deployment is a fraction (RECOVER).
TEST_CASE("the bounds of a deployment may be fractions and need not be what the daemon can keep",
          "[settings]") {
    const std::string deployment = "deployment: {service: mappa, backend_address: 127.0.0.1:1, "
                                   "heartbeat_address: 127.0.0.1:2, ready_address: 127.0.0.1:3, ";
    const auto bounds_of = [&](const std::string& bounds) {
        const auto parsed = parse_daemon_settings(valid + deployment + bounds + "}\n");
        REQUIRE(std::holds_alternative<daemon_settings>(parsed));
        return *std::get<daemon_settings>(parsed).deployment;
    };
    CHECK(bounds_of("stop_bound: \"6.5s\"").stop_bound == std::chrono::milliseconds(6500));
    CHECK(bounds_of("configuration_bound: \"2000.4ms\"").configuration_bound == std::chrono::seconds(2));
    CHECK(bounds_of("drain_bound: \"2.5e3ms\"").drain_bound == std::chrono::milliseconds(2500));
    CHECK(bounds_of("drain_bound: \"0.001ms\"").drain_bound == std::chrono::milliseconds(100));
    CHECK(bounds_of("stop_bound: \"3600s\"").stop_bound == std::chrono::minutes(10));
    for (const std::string wrong :
         {"-1s", "infs", "nans", "1.5.2s", "s", "true s", "0x10s", "1e99s", "6.5"}) {
        INFO(wrong);
        const auto parsed = parse_daemon_settings(valid + deployment + "stop_bound: \"" + wrong + "\"}\n");
        CHECK(std::holds_alternative<std::vector<settings_error>>(parsed));
    }
}

TEST_CASE("each error is reported with path, line, found value and allowed values", "[settings]") {
    const bad_case cases[] = {
        {"wokers: 4\n", "wokers", 10, "unknown key \"wokers\"", "\"workers\" is the nearest"},
        {"workers: many\n", "workers", 10, "\"many\"", "a whole number from 1 to 64"},
        {"workers: 65\n", "workers", 10, "\"65\"", "a whole number from 1 to 64"},
        {"workers: -1\n", "workers", 10, "\"-1\"", "a whole number from 1 to 64"},
        {"fleat: x\n", "fleat", 10, "unknown key \"fleat\"", "\"fleet\" is the nearest"},
        {"log_level: loud\n", "log_level", 10, "\"loud\"", "one of info, warning, error"},
        {"default_patience: 5\n", "default_patience", 10, "\"5\"", "a duration from 1ms to 600s"},
        {"gone_object_patience: 0s\n", "gone_object_patience", 10, "\"0s\"", "a duration from 1s to"},
        {"seed_peers: nobody\n", "seed_peers", 10, "\"nobody\"", "a list of texts"},
        {"seed_peers: [nobody]\n", "seed_peers", 10, "\"nobody\"", "an address"},
        {"advertised_transport_address: here\n", "advertised_transport_address", 10, "\"here\"",
         "a port other than 0"},
        {"advertised_transport_address: 10.0.0.1\n", "advertised_transport_address", 10, "\"10.0.0.1\"",
         "a port other than 0"},
        {"advertised_transport_address: 10.0.0.1:0\n", "advertised_transport_address", 10, "\"10.0.0.1:0\"",
         "a port other than 0"},
        {"advertised_transport_address: [a]\n", "advertised_transport_address", 10, "a list", "a text"},
        {"advertised_transport_adress: 10.0.0.1:7000\n", "advertised_transport_adress", 10,
         "unknown key \"advertised_transport_adress\"", "\"advertised_transport_address\" is the nearest"},
        {"transport_source_ip: 10.0.0.1:7000\n", "transport_source_ip", 10, "\"10.0.0.1:7000\"",
         "an ip address"},
        {"transport_source_ip: \"\"\n", "transport_source_ip", 10, "\"\"", "a text that is not empty"},
        {"transport_source: 10.0.0.1\n", "transport_source", 10, "unknown key \"transport_source\"",
         "\"transport_source_ip\" is the nearest"},
        {"name: d2\n", "name", 10, "the key twice", "each key once"},
    };
    for (const auto& each : cases) {
        CAPTURE(each.extra);
        const auto parsed = parse_daemon_settings(valid + each.extra);
        const auto* errors = std::get_if<std::vector<settings_error>>(&parsed);
        REQUIRE(errors != nullptr);
        REQUIRE(errors->size() == 1);
        CHECK(errors->front().path == each.path);
        CHECK(errors->front().line == each.line);
        CHECK(errors->front().found == each.found);
        CHECK_THAT(errors->front().allowed, Catch::Contains(each.allowed_part));
    }
}

TEST_CASE("a missing or invalid fleet name is refused", "[settings]") {
    const std::string line = "fleet: sicily\n";
    for (const std::string named : {"", "fleet: Sicily\n", "fleet: \"a b\"\n", "fleet: \"\"\n",
                                    "fleet: a23456789-123456789-123456789-123\n"}) {
        CAPTURE(named);
        std::string text = valid;
        text.replace(text.find(line), line.size(), named);
        const auto parsed = parse_daemon_settings(text);
        const auto* errors = std::get_if<std::vector<settings_error>>(&parsed);
        REQUIRE(errors != nullptr);
        REQUIRE(errors->size() == 1);
        CHECK(errors->front().path == "fleet");
    }
    CHECK(std::get<daemon_settings>(parse_daemon_settings(valid)).fleet == "sicily");
}

TEST_CASE("all errors of the settings are reported together", "[settings]") {
    const auto parsed = parse_daemon_settings("name: d1\nworkers: x\ncaller_address: here\n");
    const auto* errors = std::get_if<std::vector<settings_error>>(&parsed);
    REQUIRE(errors != nullptr);
    REQUIRE(errors->size() == 9);
}

TEST_CASE("texts that are not a map of settings are refused", "[settings]") {
    for (const std::string text : {"", "- a\n- b\n", "a: [", "just words"}) {
        CAPTURE(text);
        REQUIRE(std::holds_alternative<std::vector<settings_error>>(parse_daemon_settings(text)));
    }
}

// Guards against settings that are read again and then not used (CONFIG).
TEST_CASE("a running daemon takes the addresses and bounds that it can, and the rest at its next start",
          "[settings]") {
    daemon_settings before;
    before.platform_address = "10.0.0.1:1";
    before.deployment.emplace();
    const auto none = take_changes(before, before);
    CHECK_FALSE(none.has_taken);
    CHECK_FALSE(none.waits_for_start);

    auto read = before;
    read.platform_address = "10.0.0.2:1";
    read.deployment->backend_address = "10.0.0.3:1";
    read.deployment->drain_bound = std::chrono::seconds(1);
    read.deployment->stop_bound = std::chrono::seconds(9);
    const auto taken = take_changes(before, read);
    CHECK(taken.has_taken);
    CHECK_FALSE(taken.waits_for_start);
    CHECK(taken.in_force == read);

    read.caller_address = "10.0.0.1:2";
    read.deployment->service = "another";
    const auto partly = take_changes(before, read);
    CHECK(partly.has_taken);
    CHECK(partly.waits_for_start);
    CHECK(partly.in_force.caller_address == before.caller_address);
    CHECK(partly.in_force.deployment->service == before.deployment->service);
    read.deployment.reset();
    CHECK(take_changes(before, read).in_force.deployment == before.deployment);
}

TEST_CASE("a text that is JSON is read as the same values as YAML", "[settings]") {
    const std::string yaml =
        "a: 1\nb: [x, {c: true}, -2.5]\nd: null\ne: \"\\u00e4 \\\"q\\\"\"\nf: 18446744073709551615\n";
    const std::string json =
        R"({"a": 1, "b": ["x", {"c": true}, -2.5], "d": null, "e": "\u00e4 \"q\"", "f": 18446744073709551615})";
    std::vector<settings_error> errors;
    const auto first = load_map(yaml, "", errors);
    const auto second = load_map(json, "", errors);
    REQUIRE(first);
    REQUIRE(second);
    for (const std::string key : {"a", "e", "f"}) {
        INFO(key);
        CHECK(find(*first, key)->scalar == find(*second, key)->scalar);
    }
    CHECK(find(*second, "b")->items[0].scalar == "x");
    CHECK(find(find(*second, "b")->items[1], "c")->scalar == "true");
    CHECK(std::stod(find(*second, "b")->items[2].scalar) == -2.5);
    CHECK(find(*second, "d")->type == text_node::kind::nothing);
    CHECK(find(*second, "none") == nullptr);
    CHECK(load_map("{a: 1}", "", errors));
    CHECK(errors.empty());
    CHECK_FALSE(load_map("{\"a\": ", "", errors));
    CHECK(errors.size() == 1);
}

TEST_CASE("YAML whose aliases contain themselves or multiply is refused", "[settings]") {
    std::string multiplied = "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int level = 1; level < 12; ++level) {
        const auto before = "*a" + std::to_string(level - 1);
        const auto name = "a" + std::to_string(level);
        multiplied += name + ": &" + name + " [";
        for (int copy = 0; copy < 9; ++copy) {
            multiplied += before + ", ";
        }
        multiplied += before + "]\n";
    }
    for (const std::string& text : {std::string("a: &x [*x]"), multiplied}) {
        std::vector<settings_error> errors;
        CHECK_FALSE(load_map(text, "", errors));
        CHECK(errors.size() == 1);
    }
}
