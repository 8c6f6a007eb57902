#include "core/go_on.h"

#include <stdexcept>
#include <vector>

#include <catch2/catch.hpp>

using namespace monsoonlift::core;

TEST_CASE("the step after one that fails doesn't run, or the failure is lost", "[go_on]") {
    int next_steps = 0;
    const auto next = [&] {
        ++next_steps;
    };
    run_then([] {}, next);
    CHECK(next_steps == 1);
    CHECK_THROWS_AS(run_then([] { throw std::runtime_error("no memory left"); }, next), std::runtime_error);
    CHECK(next_steps == 2);
}

TEST_CASE("an item whose step fails ends the items after it, or the failure is lost", "[go_on]") {
    std::vector<int> done;
    const auto step = [&](int item) {
        if (item % 2 == 0) {
            throw std::runtime_error(std::to_string(item));
        }
        done.push_back(item);
    };
    CHECK_THROWS_WITH(for_each_apart(std::vector{1, 2, 3, 4, 5}, step), "2");
    CHECK(done == std::vector{1, 3, 5});
    for_each_apart(std::vector{7}, step);
    CHECK(done.back() == 7);
}
