#include "core/network_address.h"

#include <string>

#include <catch2/catch.hpp>

using monsoonlift::core::parse_network_address;

TEST_CASE("an address is parsed or formatted wrongly", "[network_address]") {
    struct {
        std::string text;
        std::string spelt;
    } const cases[] = {
        {"127.0.0.1:7000", "127.0.0.1:7000"},
        {"0.0.0.0:0", "0.0.0.0:0"},
        {"[::1]:65535", "[::1]:65535"},
        {"::1:80", "[::1]:80"},
    };
    for (const auto& each : cases) {
        INFO(each.text);
        const auto address = parse_network_address(each.text);
        REQUIRE(address);
        CHECK(to_string(*address) == each.spelt);
    }
}

TEST_CASE("text that is not an address is accepted", "[network_address]") {
    for (const std::string text : {"", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "127.0.0.1:-1",
                                   "127.0.0.1:80x", "localhost:80", "[127.0.0.1:80", "[]:80", ":80"}) {
        INFO(text);
        CHECK_FALSE(parse_network_address(text));
    }
}
