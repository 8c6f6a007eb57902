#include "tools/daemon_client.h"

#include <catch2/catch.hpp>

namespace monsoonlift::tools {

TEST_CASE("a nested call's key depends only on the outer key and the service", "[tools]") {
    const std::string outer = "01a24052-f1bd-7348-9c68-5c7bad0511c2";
    CHECK(derive_key(outer, "a") == derive_key(outer, "a"));
    CHECK(derive_key(outer, "a") != derive_key(outer, "b"));
    CHECK(derive_key(outer, "a") != outer);
    CHECK(derive_key("permit/x", "a").size() == 64);
}

TEST_CASE("a nested call's key keeps the time of issue of a version 7 UUID", "[tools]") {
    const std::string derived = derive_key("01a24052-f1bd-7348-9c68-5c7bad0511c2", "a");
    CHECK(derived.size() == 36);
    CHECK(derived.substr(0, 15) == "01a24052-f1bd-7");
    CHECK(derived.substr(18, 2) == "-8");
}

} // namespace monsoonlift::tools
