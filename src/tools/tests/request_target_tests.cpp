#include "tools/request_target.h"

#include <optional>

#include <catch2/catch.hpp>

namespace monsoonlift::tools {

TEST_CASE("a request target is parsed into path and query parameters", "[tools]") {
    struct target_case {
        const char* text;
        const char* path;
        const char* token;
        std::optional<std::uint64_t> body_length;
        bool echo;
    };
    const target_case cases[] = {
        {"/a", "/a", "", std::nullopt, false},
        {"/a?", "/a", "", std::nullopt, false},
        {"/a/b?token=x-1&bytes=12", "/a/b", "x-1", 12, false},
        {"/a?echo=1&other=2&flag", "/a", "", std::nullopt, true},
        {"/a?bytes=12x", "/a", "", std::nullopt, false},
    };
    for (const auto& one : cases) {
        INFO(one.text);
        const auto target = parse_target(one.text);
        CHECK(target.path == one.path);
        CHECK(target.token == one.token);
        CHECK(target.body_length == one.body_length);
        CHECK(target.echo == one.echo);
    }
}

} // namespace monsoonlift::tools
