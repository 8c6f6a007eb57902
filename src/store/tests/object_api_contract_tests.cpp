#include <chrono>
#include <memory>
#include <string>

#include <catch2/catch.hpp>

#include "store/tests/fake_environment.h"
#include "store/tests/http_environment.h"
#include "store/tests/object_api_contract.h"

using namespace std::chrono_literals;
using namespace monsoonlift;

TEST_CASE("the fake meets the object API's contract", "[platform]") {
    for (const auto& each : store::tests::contract_cases()) {
        DYNAMIC_SECTION(each.name) {
            store::tests::fake_environment environment;
            each.run(environment);
        }
    }
}

TEST_CASE("the HTTP client and the stand-in meet the object API's contract", "[platform]") {
    for (const auto& each : store::tests::contract_cases()) {
        DYNAMIC_SECTION(each.name) {
            store::tests::http_environment environment;
            each.run(environment);
        }
    }
}

TEST_CASE("calls to an unreachable or malformed address fail with verdict not_run", "[platform]") {
    struct {
        const char* address;
        core::error_code code;
    } const unreachable[] = {{"127.0.0.1:1", core::error_code::unavailable},
                             {"nowhere", core::error_code::invalid_input},
                             {"127.0.0.1:70000", core::error_code::invalid_input}};
    for (const auto& each : unreachable) {
        INFO(each.address);
        boost::asio::io_context context(1);
        store::http_object_api api(context.get_executor(),
                                   std::make_shared<store::service_address>(each.address));
        store::settled<store::object> answer;
        api.get("a/x", 500ms, [&](core::result<store::object> outcome) {
            answer = store::settle_result(std::move(outcome));
        });
        context.run();
        CHECK_FALSE(answer.value);
        CHECK(answer.failure.code == each.code);
        CHECK(answer.failure.run == core::verdict::not_run);
    }
}
