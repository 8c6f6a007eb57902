#include "core/contain.h"

#include <stdexcept>
#include <string>

#include <catch2/catch.hpp>

using namespace monsoonlift::core;

TEST_CASE("a step that fails reports why and lets its caller go on", "[contain]") {
    std::string why;
    const auto note = [&](const std::string& text) {
        why = text;
    };
    CHECK(contain([] {}, note));
    CHECK(why.empty());
    CHECK_FALSE(contain([] { throw std::runtime_error("no memory left"); }, note));
    CHECK(why == "no memory left");
    CHECK_FALSE(contain([] { throw 7; }, note));
    CHECK(why == "an exception of an unknown type");
}
