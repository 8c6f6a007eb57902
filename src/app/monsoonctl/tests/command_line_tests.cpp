#include <chrono>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "app/monsoonctl/command_line_parser.h"

using namespace std::chrono_literals;
using namespace monsoonlift::monsoonctl;

TEST_CASE("a command line with options is parsed", "[monsoonctl]") {
    const auto parsed =
        parse_command_line({"submit", "new.yaml", "--as", "anna", "--message", "more slots", "--base", "7",
                            "--platform", "127.0.0.1:1", "--output", "json", "--patience", "3"});
    const auto& line = std::get<command_line>(parsed);
    CHECK(line.what == command::submit);
    CHECK(line.file == "new.yaml");
    CHECK(line.who == "anna");
    CHECK(line.message == "more slots");
    CHECK(line.base_revision == 7);
    CHECK(line.platform == "127.0.0.1:1");
    CHECK(line.json);
    CHECK(line.patience == 3s);
}

TEST_CASE("each command is parsed from its words", "[monsoonctl]") {
    const std::string platform = "--platform=127.0.0.1:1";
    struct {
        std::vector<std::string> arguments;
        command what;
    } const cases[] = {
        {{"validate", "f"}, command::validate},
        {{"show", platform}, command::show},
        {{"show", "--with-digests", platform}, command::show},
        {{"accounts", platform}, command::accounts},
        {{"accounts", "--daemon", "127.0.0.1:2"}, command::accounts},
        {{"diff", "f", platform}, command::diff},
        {{"history", platform, "--limit", "3"}, command::history},
        {{"status", "--daemon", "127.0.0.1:2"}, command::status},
        {{"drain", "--daemon", "127.0.0.1:2", "--token-file", "t"}, command::drain},
        {{"quarantine", "list", "--daemon", "127.0.0.1:2"}, command::quarantine_list},
        {{"quarantine", "hold", "x", "--daemon", "127.0.0.1:2", "--token-file", "t"},
         command::quarantine_hold},
        {{"quarantine", "release", "x", "--daemon", "127.0.0.1:2", "--token-file", "t"},
         command::quarantine_release},
        {{"explain", "0123456789abcdef0123456789abcdef", "a.log", "b.log"}, command::explain},
    };
    for (const auto& each : cases) {
        INFO(each.arguments.front());
        const auto parsed = parse_command_line(each.arguments);
        REQUIRE(std::holds_alternative<command_line>(parsed));
        CHECK(std::get<command_line>(parsed).what == each.what);
    }
}

TEST_CASE("invalid command lines are refused", "[monsoonctl]") {
    const std::string platform = "--platform=127.0.0.1:1";
    const std::vector<std::string> cases[] = {
        {},
        {"nonsense"},
        {"submit", "f", platform},
        {"submit", "--as", "anna", platform},
        {"submit", "f", "--as", "anna", "--submission", "s", platform},
        {"submit", "f", "--as", "anna", "--base", "x", platform},
        {"history", "--limit", "-1", platform},
        {"history", "--output", "xml", platform},
        {"drain", "--daemon", "127.0.0.1:2"},
        {"quarantine", "release", "x", "--daemon", "127.0.0.1:2"},
        {"show", "extra", platform},
        {"explain"},
        {"explain", "0123", "a.log"},
    };
    for (const auto& each : cases) {
        INFO((each.empty() ? std::string("(none)") : each.front() + " " + each.back()));
        const auto parsed = parse_command_line(each);
        REQUIRE(std::holds_alternative<early_exit>(parsed));
        CHECK(std::get<early_exit>(parsed).is_error);
    }
    const auto help = parse_command_line({"--help"});
    CHECK_FALSE(std::get<early_exit>(help).is_error);
    CHECK(std::get<early_exit>(help).text.find("Usage:") != std::string::npos);
}
