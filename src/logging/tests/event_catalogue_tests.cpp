#include "logging/event_catalogue.h"

#include <fstream>
#include <map>
#include <regex>
#include <string>

#include <catch2/catch.hpp>

#include "logging/event_format.h"

using namespace monsoonlift::logging;

namespace {

std::map<int, std::string> documented_events() {
    std::ifstream page(MONSOONLIFT_DOCS "/EVENTS.md");
    const std::regex row(R"(^\| *(\d+) *\| *([a-z0-9_]+) *\| *([a-z]+) *\|.*)");
    std::map<int, std::string> found;
    std::string line;
    while (std::getline(page, line)) {
        std::smatch parts;
        if (std::regex_match(line, parts, row)) {
            found[std::stoi(parts[1])] = parts[2].str() + " " + parts[3].str();
        }
    }
    return found;
}

} // namespace

TEST_CASE("docs/EVENTS.md lists the events of the catalogue", "[events]") {
    std::map<int, std::string> catalogued;
    for (const auto& entry : event_catalogue) {
        catalogued[static_cast<int>(entry.id)] =
            std::string(entry.name) + " " + std::string(to_string(entry.level));
    }
    REQUIRE(catalogued.size() == event_catalogue.size());
    REQUIRE(catalogued == documented_events());
}

TEST_CASE("a field of an event does not replace a field that every line has", "[events]") {
    const field fields[] = {{"name", "vm-1"}, {"time", "now"}, {"member", "vm-1"}};
    const std::string line = format_event({}, event_id::member_alive, "d1", fields);
    REQUIRE(line == R"({"time":"1970-01-01T00:00:00.000000Z","event":4003,"name":"member_alive",)"
                    R"("severity":"info","process":"d1","member":"vm-1"})");
}

TEST_CASE("an event line is one JSON object with its time, number, name and fields", "[events]") {
    const monsoonlift::core::wall_time when{std::chrono::microseconds(1'773'342'245'000'042)};
    const field fields[] = {{"address", "a \"quoted\" one\n"}};
    const std::string line = format_event(when, event_id::process_started, "d1", fields);
    REQUIRE(line == R"({"time":"2026-03-12T19:04:05.000042Z","event":1000,"name":"process_started",)"
                    R"("severity":"notice","process":"d1","address":"a \"quoted\" one\n"})");
}
