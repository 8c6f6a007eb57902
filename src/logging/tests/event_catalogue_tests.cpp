#include "logging/event_catalogue.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <fstream>
#include <map>
#include <regex>
#include <string>

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include "logging/event_format.h"
#include "logging/number_text.h"

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

TEST_CASE("every byte of a field is escaped as JSON wants it", "[events]") {
    std::string bytes;
    for (int byte = 0; byte < 256; ++byte) {
        bytes += static_cast<char>(byte);
    }
    for (const auto& value : {bytes, bytes + "end", std::string(), std::string("plain")}) {
        const std::string line =
            format_event({}, event_id::member_alive, "d1", std::array{field{"value", value}});
        REQUIRE(line.ends_with(",\"value\":" + boost::json::serialize(boost::json::string(value)) + "}"));
    }
}

TEST_CASE("only the first of two fields of the same name is written", "[events]") {
    const std::string line =
        format_event({}, event_id::member_alive, "d1", std::array{field{"who", "a"}, field{"who", "b"}});
    REQUIRE(line.ends_with(R"("process":"d1","who":"a"})"));
}

TEST_CASE("times are written as the C library writes them", "[events]") {
    for (const std::int64_t microseconds : {0LL, 1LL, 999'999LL, 951'782'399'000'001LL, 951'868'800'100'000LL,
                                            1'773'342'245'123'456LL, 4'107'542'399'999'999LL, -1LL}) {
        INFO(microseconds);
        const monsoonlift::core::wall_time when{std::chrono::microseconds(microseconds)};
        const auto seconds = std::chrono::floor<std::chrono::seconds>(when).time_since_epoch();
        const std::time_t whole = seconds.count();
        std::tm parts{};
        gmtime_r(&whole, &parts);
        std::array<char, 40> text{};
        const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
        std::snprintf(text.data() + length, text.size() - length, ".%06dZ",
                      static_cast<int>(microseconds - whole * 1'000'000));
        REQUIRE(utc_text(when) == text.data());
    }
}

TEST_CASE("milliseconds are written as the C library writes them", "[events]") {
    for (const std::int64_t nanoseconds : {0LL, 1LL, 499LL, 500LL, 501LL, 1'500LL, 12'345'499LL, 12'345'500LL,
                                           -7'000'000LL, 9'223'372'036'854'775'807LL}) {
        std::array<char, 32> text{};
        std::snprintf(text.data(), text.size(), "%.3f", static_cast<double>(nanoseconds) / 1e6);
        REQUIRE(milliseconds_text(std::chrono::nanoseconds(nanoseconds)) == text.data());
    }
}
