#include <chrono>
#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "app/monsoonctl/commands.h"
#include "app/monsoonctl/tests/command_fixture.h"
#include "execution/home_table.h"

using namespace std::chrono_literals;
using namespace monsoonlift;
using namespace monsoonlift::monsoonctl;

namespace {

struct fence_fixture : tests::command_fixture {
    void store(const execution::home_table& table) {
        const auto written = session.wait<std::uint64_t>([&](auto done) {
            session.api().update_if("homes/squadre", 0, execution::write_homes(table), 5s, std::move(done));
        });
        REQUIRE(written.value);
    }

    execution::home_table stored() {
        const auto read = session.wait<store::object>(
            [&](auto done) { session.api().get("homes/squadre", 5s, std::move(done)); });
        REQUIRE(read.value);
        return execution::read_homes(read.value->value, read.value->version).value();
    }

    exit_code fence(const std::string& address) {
        command_line line;
        line.what = command::fence;
        line.address = address;
        line.service = "squadre";
        line.who = "anna";
        line.patience = 2s;
        return run_fence(line, session, printer);
    }
};

execution::home_table two_holders() {
    execution::home_table table;
    for (std::size_t slot = 0; slot < table.slots.size(); ++slot) {
        table.slots[slot].holder = {slot % 2 == 0 ? "10.0.0.1:7000" : "10.0.0.2:7000", {7}};
    }
    return table;
}

} // namespace

TEST_CASE("a fence frees only the slots of the destroyed VM and is recorded", "[monsoonctl][fence]") {
    fence_fixture fixture;
    fixture.store(two_holders());
    CHECK(fixture.fence("10.0.0.1:7000") == exit_code::ok);
    const auto table = fixture.stored();
    CHECK(table.slots[0].holder.address.empty());
    CHECK(table.slots[0].seen_until > core::wall_time{});
    CHECK(table.slots[1].holder.address == "10.0.0.2:7000");
    const auto records = fixture.session.wait<store::object_list>(
        [&](auto done) { fixture.session.api().list("fences/squadre/", 5s, std::move(done)); });
    REQUIRE(records.value);
    REQUIRE(records.value->objects.size() == 1);
    CHECK_THAT(records.value->objects.front().value, Catch::Contains("\"who\":\"anna\""));
}

TEST_CASE("a fence is refused for an address without slots or a service without a table",
          "[monsoonctl][fence]") {
    fence_fixture fixture;
    CHECK(fixture.fence("10.0.0.1:7000") == exit_code::refused);
    fixture.store(two_holders());
    CHECK(fixture.fence("10.0.0.9:7000") == exit_code::refused);
}

TEST_CASE("a fence whose answers are lost succeeds by reading the table again", "[monsoonctl][fence]") {
    fence_fixture fixture;
    fixture.store(two_holders());
    fixture.set_faults(R"({"lose_answers":1.0})");
    CHECK(fixture.fence("10.0.0.1:7000") == exit_code::ok);
    CHECK(fixture.stored().slots[0].holder.address.empty());
}

TEST_CASE("a fence during an outage fails as unavailable", "[monsoonctl][fence]") {
    fence_fixture fixture;
    fixture.store(two_holders());
    fixture.set_faults(R"({"outage":true})");
    CHECK(fixture.fence("10.0.0.1:7000") == exit_code::unavailable);
}
