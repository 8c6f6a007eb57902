// Runs the object API's contract against the client of the platform's store, and tests its translation.
#include "platform/platform_store.h"
#include "platform/testing/store_paths.h"
#include "platform/types/wire_names.h"
#include "store/tests/object_api_contract.h"
#include "store/tests/standin_environment.h"
#include "testing/silent_log.h"

#include "configuration/stored_configuration_json.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;

namespace {

class platform_environment final : public store::tests::standin_environment {
public:
    platform_environment() {
        server().serve_also(platform::testing::handle_store_call);
        server().start();
    }

    store::object_api& api() override { return m_api; }

    platform::platform_store& client() { return m_api; }

private:
    testing::silent_log m_log;
    platform::platform_store m_api{context().get_executor(),
                                   std::make_shared<store::service_address>(server().address()), m_log};
};

store::settled<store::object_list> list_configuration(platform_environment& environment) {
    return environment.wait<store::object_list>(
        [&](auto done) { environment.api().list("configuration/", 5000ms, done); });
}

} // namespace

TEST_CASE("the client of the platform's store meets the object API's contract", "[platform]") {
    for (const auto& each : store::tests::contract_cases()) {
        DYNAMIC_SECTION(each.name) {
            platform_environment environment;
            each.run(environment);
        }
    }
}

TEST_CASE("the operator's configuration is translated when it is read from the store", "[platform]") {
    platform_environment environment;
    CHECK(list_configuration(environment).value->objects.empty());
    environment.post("/api/objects/config",
                     R"({"Metadata":{"Name":"main"},"Spec":{"Version":"0000001f","Listeners":[],)"
                     R"("Clusters":[{"Name":"mappa"}]}})");
    environment.post("/api/objects/config", R"({"Metadata":{"Name":"other"},"Spec":{"Version":"000000ff"}})");
    const auto listed = list_configuration(environment);
    REQUIRE(listed.value);
    REQUIRE(listed.value->objects.size() == 1);
    CHECK(listed.value->objects[0].name == configuration::current_object);
    const auto stored = configuration::parse_stored_configuration(listed.value->objects[0].value);
    REQUIRE(stored);
    CHECK(stored->revision == 31);
    CHECK(stored->digest == configuration::digest_of(*stored));
}

// Guards against daemons that go on with the text that they decoded before, and against a circuit that opens
// because a configuration can't be used.
TEST_CASE("a configuration that is read again is the one that the store has", "[platform]") {
    platform_environment environment;
    const auto read = [&] {
        return environment.wait<store::object>(
            [&](auto done) { environment.api().get(configuration::current_object, 5000ms, done); });
    };
    const auto revision = [&] {
        const auto answer = read();
        REQUIRE(answer.value);
        const auto stored = configuration::parse_stored_configuration(answer.value->value);
        return stored ? stored->revision : 0;
    };
    CHECK(read().failure.code == core::error_code::not_found);
    environment.post("/api/objects/config",
                     R"({"Metadata":{"Name":"main"},"Spec":{"Version":"0000001f","Listeners":[],)"
                     R"("Clusters":[{"Name":"mappa"}]}})");
    CHECK(revision() == 31);
    CHECK(revision() == 31);
    const auto version = read().value->version;
    environment.post("/api/objects/config",
                     R"({"Metadata":{"Name":"main","Rev":)" + std::to_string(version) +
                         R"(},"Spec":{"Version":"00000020","Listeners":[],"Clusters":[{"Name":"mappa"}]}})");
    CHECK(revision() == 32);
    CHECK(revision() == 32);
    environment.post("/api/objects/config", R"({"Metadata":{"Name":"main","Rev":)" +
                                                std::to_string(read().value->version) +
                                                R"(},"Spec":{"Version":"none"}})");
    CHECK(revision() == 0);
    CHECK(revision() == 0);
}

TEST_CASE("an object that another writer replaced can be read with its version and overwritten",
          "[platform]") {
    platform_environment environment;
    const auto kind = "/api/objects/" + std::string(platform::wire::own_kinds_prefix) + "members";
    environment.post(kind, R"({"Metadata":{"Name":"10.0.0.1:7000"},"Spec":{"port":1e300}})");
    const auto name = std::string("members/10.0.0.1:7000");
    const auto read =
        environment.wait<store::object>([&](auto done) { environment.api().get(name, 5000ms, done); });
    REQUIRE(read.value);
    CHECK(read.value->value.empty());
    const auto written = environment.wait<std::uint64_t>(
        [&](auto done) { environment.api().update_if(name, read.value->version, "text", 5000ms, done); });
    CHECK(written.value);
}

// Guards against cursors and versions of the store before a restore that are used after it.
TEST_CASE("a restore of the store is noticed once, by its era", "[platform]") {
    platform_environment environment;
    std::vector<std::uint64_t> eras;
    std::vector<std::uint64_t> first_eras;
    environment.client().on_restored([&](std::uint64_t era) { eras.push_back(era); });
    environment.client().on_first_era([&](std::uint64_t era) { first_eras.push_back(era); });
    const auto write = [&](const std::string& name) {
        return environment.wait<std::uint64_t>(
            [&](auto done) { environment.api().update_if(name, 0, "text", 5000ms, done); });
    };
    const auto list = [&] {
        return environment.wait<store::object_list>(
            [&](auto done) { environment.api().list("members/", 5000ms, done); });
    };
    const auto watch_from = [&](std::uint64_t revision) {
        return environment.wait<store::watch_result>(
            [&](auto done) { environment.api().watch("members/", revision, 100ms, done); });
    };
    REQUIRE(write("members/10.0.0.1:7000").value);
    REQUIRE(write("members/10.0.0.2:7000").value);
    const auto before = list();
    REQUIRE(before.value);
    CHECK(before.value->objects.size() == 2);
    CHECK(eras.empty());

    environment.post("/restore", R"({"age_ms":60000})");
    CHECK_FALSE(watch_from(before.value->revision).value); // 410: the store has no such revision.
    CHECK(eras == std::vector<std::uint64_t>{2});
    const auto after = list();
    REQUIRE(after.value);
    CHECK(after.value->objects.empty());
    CHECK(after.value->revision < before.value->revision);
    CHECK(watch_from(after.value->revision).value);
    CHECK(write("members/10.0.0.1:7000").value);
    CHECK(eras == std::vector<std::uint64_t>{2});
    CHECK(first_eras == std::vector<std::uint64_t>{1});
}

TEST_CASE("the stand-in comes back from a copy that has what was written before it", "[platform]") {
    platform_environment environment;
    const auto write = [&](const std::string& name) {
        return environment.wait<std::uint64_t>(
            [&](auto done) { environment.api().update_if(name, 0, "text", 5000ms, done); });
    };
    REQUIRE(write("members/10.0.0.1:7000").value);
    environment.post("/restore", R"({"age_ms":0})");
    const auto read = environment.wait<store::object>(
        [&](auto done) { environment.api().get("members/10.0.0.1:7000", 5000ms, done); });
    CHECK(read.value);
}
