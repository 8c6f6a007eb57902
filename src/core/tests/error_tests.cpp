#include "core/error.h"

#include <catch2/catch.hpp>

using namespace monsoonlift::core;

namespace {

result<int> half(int value) {
    if (value % 2 != 0) {
        return fail({error_code::invalid_input, "an odd number has no half", verdict::not_run});
    }
    return value / 2;
}

} // namespace

TEST_CASE("settle calls the wrong handler or loses the error", "[error]") {
    const auto text = [](int value) {
        return settle([&] { return half(value); }, [](int found) { return std::to_string(found); },
                      [](const error& failure) { return failure.message; });
    };
    REQUIRE(text(4) == "2");
    REQUIRE(text(3) == "an odd number has no half");
}

TEST_CASE("a captured failure loses its error before it is handled", "[error]") {
    result<int> later =
        captured_failure<int>({error_code::timeout, "no answer in 2 s", verdict::may_have_run});
    const auto run = settle([&] { return std::move(later); }, [](int) { return verdict::ran; },
                            [](const error& failure) { return failure.run; });
    REQUIRE(run == verdict::may_have_run);
}
