#include "metrics/class_table.h"
#include "metrics/counter_row.h"

#include <array>
#include <thread>

#include <catch2/catch.hpp>

using namespace monsoonlift::metrics;

namespace {

struct named {
    std::string name;
    counter calls;
};

class_table<named> make_table() {
    return class_table<named>([](const std::string& name) {
        auto made = std::make_unique<named>();
        made->name = name;
        return made;
    });
}

} // namespace

TEST_CASE("an object is looked up by the rank of its class, and unknown ranks share one object",
          "[metrics]") {
    auto table = make_table();
    CHECK(table.of(0).name == "unknown");
    table.set_names({"urgent", "lookup"});
    CHECK(table.of(0).name == "urgent");
    CHECK(table.of(1).name == "lookup");
    CHECK(&table.of(2) == &table.unknown());
    CHECK(&table.of(255) == &table.unknown());
}

TEST_CASE("totals stay with the name of a class when the class order changes", "[metrics]") {
    auto table = make_table();
    table.set_names({"urgent", "lookup"});
    table.of(1).calls.add(5);
    table.set_names({"lookup"});
    CHECK(table.of(0).calls.value() == 5);
    CHECK(&table.of(1) == &table.unknown());
    table.set_names({"urgent", "lookup"});
    CHECK(table.of(1).calls.value() == 5);
}

TEST_CASE("class names beyond the maximum count as unknown", "[metrics]") {
    auto table = make_table();
    for (std::size_t number = 0; number < class_table<named>::most_names; ++number) {
        table.set_names({"class-" + std::to_string(number)});
        CHECK(table.of(0).name == "class-" + std::to_string(number));
    }
    table.set_names({"one-too-many", "class-3", "unknown"});
    CHECK(&table.of(0) == &table.unknown());
    CHECK(table.of(1).name == "class-3");
    CHECK(&table.of(2) == &table.unknown());
}

TEST_CASE("a counter row has a counter for each value of its label", "[metrics]") {
    constexpr std::array<std::string_view, 2> values{"ran", "not_run"};
    metrics_registry registry;
    const counter_row row(registry, "calls_total", "Calls.", label("class", "a\"b\\c\n"), "verdict", values);
    row.at(0).add(2);
    row.at(1).add();
    const std::string text = registry.render();
    CHECK_THAT(text, Catch::Contains(R"(calls_total{class="a\"b\\c\n",verdict="ran"} 2)"));
    CHECK_THAT(text, Catch::Contains(R"(calls_total{class="a\"b\\c\n",verdict="not_run"} 1)"));
    CHECK_THROWS(row.at(2));
}

TEST_CASE("no count is lost when class names change while another thread counts", "[metrics][threads]") {
    constexpr int times = 2000;
    auto table = make_table();
    std::thread reader([&] {
        for (int i = 0; i < times; ++i) {
            table.of(0).calls.add();
        }
    });
    for (int i = 0; i < times; ++i) {
        table.set_names({i % 2 == 0 ? "urgent" : "lookup"});
    }
    reader.join();
    std::uint64_t counted = table.unknown().calls.value();
    for (const auto* name : {"urgent", "lookup"}) {
        table.set_names({name});
        counted += table.of(0).calls.value();
    }
    REQUIRE(counted == times);
}
