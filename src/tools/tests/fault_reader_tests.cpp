#include "tools/fault_reader.h"

#include <catch2/catch.hpp>

namespace monsoonlift::tools {
namespace {

bool is_accepted(const char* json) {
    return core::settle([&] { return read_faults(json, {}); }, [](const fault_settings&) { return true; },
                        [](const core::error&) { return false; });
}

} // namespace

TEST_CASE("faults that a request doesn't name keep their previous values", "[tools]") {
    fault_settings before;
    before.lie = true;
    const auto faults = read_faults(R"({"slow_factor":10,"crash_on":"x"})", before);
    REQUIRE(faults);
    CHECK(faults->lie);
    CHECK(faults->slow_factor == 10);
    CHECK(faults->crash_on == "x");
}

TEST_CASE("unknown faults, wrong types and values out of range are rejected", "[tools]") {
    CHECK(is_accepted("{}"));
    CHECK(is_accepted(R"({"fail_fast":0.5,"hang":false,"refuse":true})"));
    const char* refused[] = {
        "", "[]", "{", R"({"slow":1})", R"({"fail_fast":1.5})", R"({"lie":1})", R"({"crash_on":1})"};
    for (const auto* json : refused) {
        INFO(json);
        CHECK_FALSE(is_accepted(json));
    }
}

} // namespace monsoonlift::tools
