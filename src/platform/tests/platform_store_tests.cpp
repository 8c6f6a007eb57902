// The platform's store behind the object API: the same contract as every other implementation of it.
#include "app/platform_standin/standin_server.h"
#include "platform/platform_store.h"
#include "platform/testing/store_paths.h"
#include "store/http_client.h"
#include "store/tests/object_api_contract.h"
#include "testing/silent_log.h"

#include "configuration/stored_configuration_json.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace std::chrono_literals;

namespace {

class platform_environment final : public store::tests::contract_environment {
public:
    platform_environment() {
        m_server.serve_also(platform::testing::handle_store_call);
        m_server.start();
    }

    store::object_api& api() override { return m_api; }

    void run_until(const std::function<bool()>& reached) override {
        m_context.restart();
        while (!reached() && m_context.run_one() > 0) {
        }
    }

    void set_outage(bool outage, bool silent) override {
        post("/faults", std::string("{\"outage\":") + (outage ? "true" : "false") +
                            ",\"silent\":" + (silent ? "true" : "false") + "}");
    }

    void lose_answers(bool lost) override {
        post("/faults", lost ? "{\"lose_answers\":1}" : "{\"lose_answers\":0}");
    }

    void post(const std::string& target, const std::string& body) {
        bool ended = false;
        m_http.send(m_server.address(), {"POST", target, body, {}}, 5s,
                    [&ended](const core::result<store::http_reply>&) { ended = true; });
        run_until([&ended] { return ended; });
    }

private:
    boost::asio::io_context m_context{1};
    testing::silent_log m_log;
    platform_standin::standin_server m_server{m_context, {boost::asio::ip::address_v4::loopback(), 0}, 1};
    store::http_client m_http{m_context.get_executor()};
    platform::platform_store m_api{m_context.get_executor(), m_server.address(), m_log};
};

store::settled<store::object_list> list_configuration(platform_environment& environment) {
    return environment.wait<store::object_list>(
        [&](auto done) { environment.api().list("configuration/", 5000ms, done); });
}

} // namespace

TEST_CASE("the platform's store keeps the object API's contract", "[platform]") {
    for (const auto& each : store::tests::contract_cases()) {
        DYNAMIC_SECTION(each.name) {
            platform_environment environment;
            each.run(environment);
        }
    }
}

TEST_CASE("the operator's configuration is read from the store as ours", "[platform]") {
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
