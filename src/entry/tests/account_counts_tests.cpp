#include "entry/internal/account_counts.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::entry;
using namespace monsoonlift::entry::internal;

TEST_CASE("calls, answers and refusals are counted by account and reason", "[entry]") {
    metrics::metrics_registry registry;
    account_counts counts(registry);
    count_answered(counts.count_call("school"));
    problem trouble;
    for (const auto* type : {"quota-exceeded", "shed", "quota-exceeded", "no-such-reason"}) {
        trouble.type = type;
        count_problem(counts.count_call("school"), trouble);
    }
    const auto uses = counts.uses();
    REQUIRE(uses.size() == 1);
    CHECK(uses[0].name == "school");
    CHECK(uses[0].calls == 5);
    CHECK(uses[0].answered == 1);
    const std::vector<std::pair<std::string, std::uint64_t>> refused{
        {"quota-exceeded", 2}, {"shed", 1}, {"other", 1}};
    CHECK(uses[0].refused == refused);
    CHECK_THAT(registry.render(),
               Catch::Contains(
                   R"(monsoonlift_account_calls_refused_total{account="school",reason="quota-exceeded"} 2)"));
}

TEST_CASE("a deployment without accounts gets no counters of accounts", "[entry]") {
    metrics::metrics_registry registry;
    account_counts counts(registry);
    CHECK(counts.count_call("") == nullptr);
    count_answered(nullptr);
    count_problem(nullptr, problem());
    CHECK(counts.uses().empty());
    CHECK_THAT(registry.render(), !Catch::Contains("account"));
}

TEST_CASE("the number of counters is bounded, and the accounts beyond it are counted together", "[entry]") {
    metrics::metrics_registry registry;
    account_counts counts(registry);
    constexpr std::size_t accounts = 3 * account_counts::most_accounts;
    for (int round = 0; round < 2; ++round) {
        for (std::size_t index = 0; index < accounts; ++index) {
            count_answered(counts.count_call("account" + std::to_string(index)));
        }
    }
    const auto uses = counts.uses();
    REQUIRE(uses.size() == account_counts::most_accounts + 1);
    CHECK(uses.back().name == "other");
    CHECK(uses.back().calls == 2 * (accounts - account_counts::most_accounts));
    CHECK(uses.front().calls == 2);
}
