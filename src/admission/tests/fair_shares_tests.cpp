// Scenario: accounts of different size compete for a service that can't serve them all.
#include "admission/fair_shares.h"
#include "admission/shedding.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>
#include <random>

using namespace monsoonlift;
using namespace monsoonlift::admission;
using namespace std::chrono_literals;

namespace {

const core::steady_time start{1h};

core::root_id random_root(std::mt19937_64& random) {
    core::root_id root;
    std::generate(root.bytes.begin(), root.bytes.end(), [&] { return static_cast<std::uint8_t>(random()); });
    return root;
}

/// Returns the max-min fair share of each account if `admitted` calls per second are admitted in total.
double fair_share(const std::vector<double>& demands, double admitted) {
    double low = 0;
    double high = *std::max_element(demands.begin(), demands.end());
    for (int step = 0; step < 60; ++step) {
        const double share = (low + high) / 2;
        double sum = 0;
        for (const double demand : demands) {
            sum += std::min(demand, share);
        }
        (sum < admitted ? low : high) = share;
    }
    return low;
}

/// A caller of an account that sends calls at random moments.
struct account_load {
    std::string name;
    double per_second = 0;
    core::class_rank rank = 1;
};

/// Sends calls for a while, of which those at or above `threshold` are refused. Returns the admitted calls
/// per second of each account. With `retries`, an account named "eager" sends a refused call again, up to 4
/// times.
std::map<std::string, double>
admitted_under(const shed_level& threshold, const std::vector<account_load>& accounts, bool retries = false) {
    constexpr auto warm_up = 10s;
    constexpr auto measured = 60s;
    std::mt19937_64 random(7);
    demand_estimator estimator;
    std::map<std::string, double> admitted;
    const double total = std::accumulate(accounts.begin(), accounts.end(), 0.0,
                                         [](double sum, const auto& each) { return sum + each.per_second; });
    std::vector<double> weights;
    for (const auto& each : accounts) {
        weights.push_back(each.per_second);
    }
    std::discrete_distribution<std::size_t> any(weights.begin(), weights.end());
    std::exponential_distribution<double> gap(total);
    auto now = start;
    while (now < start + warm_up + measured) {
        now +=
            std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(gap(random)));
        const auto& account = accounts[any(random)];
        const int sends = retries && account.name == "eager" ? 5 : 1;
        for (int sent = 0; sent < sends; ++sent) {
            core::call_context context;
            context.account = account.name;
            context.rank = account.rank;
            context.root = random_root(random);
            place_call(estimator, context, now);
            REQUIRE(context.position.has_value());
            context.depth = 1; // as a nested call of it meets the threshold
            if (admits(threshold, context)) {
                admitted[account.name] += now >= start + warm_up ? 1 / 60.0 : 0;
                break;
            }
        }
    }
    return admitted;
}

/// Compares what each account of class 1 gets with min(demand, share), under thresholds at several positions.
void require_fair(const std::vector<account_load>& accounts) {
    std::vector<double> demands;
    for (const auto& each : accounts) {
        demands.push_back(each.per_second);
    }
    const double total = std::accumulate(demands.begin(), demands.end(), 0.0);
    for (const std::uint32_t bucket : {24U, 48U, 64U, 96U, 120U}) {
        const auto admitted = admitted_under({1, bucket}, accounts);
        const double share = fair_share(demands, total * bucket / root_buckets);
        for (const auto& each : accounts) {
            CAPTURE(bucket, each.name, share);
            const double expected = std::min(each.per_second, share);
            REQUIRE(admitted.at(each.name) == Approx(expected).epsilon(0.1));
        }
    }
}

std::vector<account_load> even_accounts(std::size_t number, double per_second) {
    std::vector<account_load> accounts;
    for (std::size_t index = 0; index < number; ++index) {
        accounts.push_back({"account " + std::to_string(index), per_second});
    }
    return accounts;
}

} // namespace

TEST_CASE("an account with five times the demand gets more than its fair share", "[fair_shares]") {
    auto accounts = even_accounts(5, 100);
    accounts.push_back({"large", 500});
    require_fair(accounts);
}

TEST_CASE("several large accounts get more than their fair shares", "[fair_shares]") {
    auto accounts = even_accounts(4, 60);
    accounts.push_back({"large", 300});
    accounts.push_back({"larger", 400});
    accounts.push_back({"largest", 600});
    require_fair(accounts);
}

TEST_CASE("an account that retries at once takes the shares of others", "[fair_shares]") {
    auto accounts = even_accounts(4, 80);
    accounts.push_back({"eager", 320});
    const auto admitted = admitted_under({1, 64}, accounts, true);
    for (std::size_t index = 0; index < 4; ++index) {
        REQUIRE(admitted.at(accounts[index].name) >= 0.9 * 80);
    }
}

TEST_CASE("an account of another class changes the shares of a class", "[fair_shares]") {
    auto accounts = even_accounts(4, 100);
    accounts.push_back({"urgent", 2000, 0});
    const auto admitted = admitted_under({1, 64}, accounts);
    REQUIRE(admitted.at("urgent") == Approx(2000).epsilon(0.1));
    for (std::size_t index = 0; index < 4; ++index) {
        REQUIRE(admitted.at(accounts[index].name) == Approx(50).epsilon(0.2));
    }
}

TEST_CASE("an account whose calls all reach one entry is taken for a large one", "[fair_shares]") {
    demand_estimator estimator;
    estimator.fleet = [](core::class_rank) {
        return std::vector<account_rate>{{"lone", 10}, {"spread", 670}};
    };
    std::mt19937_64 random(3);
    // This entry sees 10 calls per second of each account.
    int admitted = 0;
    for (int index = 0; index < 200; ++index) {
        core::call_context context;
        context.account = index % 2 == 0 ? "lone" : "spread";
        context.root = random_root(random);
        place_call(estimator, context, start + index * 50ms);
        admitted += context.account == "lone" && *context.position < 64 ? 1 : 0;
    }
    REQUIRE(admitted == 100);
}

TEST_CASE("calls without an account, or nested ones, get a position of their own", "[fair_shares]") {
    demand_estimator estimator;
    core::call_context context;
    place_call(estimator, context, start);
    REQUIRE_FALSE(context.position);
    context.account = "one";
    context.depth = 1;
    context.position = 17;
    place_call(estimator, context, start);
    REQUIRE(context.position == 17);
    REQUIRE(estimator.by_rank.empty());
}

TEST_CASE("demands of accounts without calls are kept, or those of too many accounts", "[fair_shares]") {
    demand_estimator estimator;
    std::mt19937_64 random(5);
    for (std::size_t index = 0; index < most_accounts + 10; ++index) {
        core::call_context context;
        context.account = std::to_string(index);
        context.root = random_root(random);
        place_call(estimator, context, start);
    }
    REQUIRE(estimator.by_rank.at(0).own.size() == most_accounts);
    core::call_context context;
    context.account = "0";
    place_call(estimator, context, start + 11s);
    REQUIRE(estimator.by_rank.at(0).own.size() == 1);
}
