#include "tools/scenario_reader.h"

#include <string>

#include <catch2/catch.hpp>

namespace monsoonlift::tools {
namespace {

std::string with_class(const std::string& more) {
    return R"({"targets": ["127.0.0.1:1"], "phases": [{"name": "before", "duration": "2s"}, )"
           R"({"name": "surge", "duration": "500ms"}], "classes": [{"name": "c", "service": "s", )"
           R"("rates": {"surge": 10})" +
           more + "}]}";
}

} // namespace

TEST_CASE("a JSON scenario is read, with defaults for missing keys", "[tools]") {
    const auto read = read_scenario(with_class(R"(, "attempts": 3, "timeout": "250ms", "keyed": true)"));
    REQUIRE(std::holds_alternative<scenario>(read));
    const auto& run = std::get<scenario>(read);
    REQUIRE(run.phases.size() == 2);
    CHECK(run.phases[1].duration == std::chrono::milliseconds(500));
    REQUIRE(run.classes.size() == 1);
    const auto& one = run.classes[0];
    CHECK(one.rates == std::vector<double>{0, 10});
    CHECK(one.targets == std::vector<std::string>{"127.0.0.1:1"});
    CHECK(one.attempts == 3);
    CHECK(one.patience == std::chrono::milliseconds(250));
    CHECK(one.keyed);
}

TEST_CASE("an invalid scenario is rejected with the paths of its errors", "[tools]") {
    struct fault_case {
        std::string text;
        const char* path;
    };
    const fault_case cases[] = {
        {"- a list", ""},
        {"{ broken", ""},
        {with_class(R"(, "rate": 1)"), "classes[0].rate"},
        {with_class(R"(, "attempts": 0)"), "classes[0].attempts"},
        {with_class(R"(, "method": "post")"), "classes[0].method"},
        {R"({"phases": [], "classes": []})", "phases"},
    };
    for (const auto& one : cases) {
        INFO(one.text);
        const auto read = read_scenario(one.text);
        REQUIRE(std::holds_alternative<std::vector<settings::settings_error>>(read));
        CHECK(std::get<std::vector<settings::settings_error>>(read).front().path == one.path);
    }
}

} // namespace monsoonlift::tools
