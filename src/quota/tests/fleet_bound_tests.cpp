// The bound of the limit over all entries, in a model of the fleet without a network.
#include "quota/tests/model_quota.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace monsoonlift::quota::testing;

namespace {

constexpr std::size_t entries = 67;

/// Time in which the first owner gains its lease.
constexpr std::chrono::milliseconds start_time = 4000ms;

/// Spreads the demand of an account unevenly: the first entry gets a third, the others the rest in shares
/// that fall towards the last.
void spread_unevenly(model_quota& fleet, const std::string& account, double calls_per_second) {
    fleet.set_demand(account, 0, calls_per_second / 3);
    double sum = 0;
    for (std::size_t index = 1; index < fleet.size(); ++index) {
        sum += 1.0 / static_cast<double>(index);
    }
    for (std::size_t index = 1; index < fleet.size(); ++index) {
        const double share = 1.0 / static_cast<double>(index) / sum;
        fleet.set_demand(account, index, calls_per_second * 2 / 3 * share);
    }
}

/// Forgets the outcomes so far, but not the calls that ran.
void begin_counting(model_totals& totals) {
    totals.offered = totals.ran = totals.limited = totals.unanswered = 0;
}

} // namespace

TEST_CASE("demand beyond the limit runs up to the limit, and never more than the bound", "[quota_bound]") {
    const double factor = GENERATE(1.2, 2.0, 5.0);
    const accounts::account_limit limit{100, 50};
    model_quota fleet(entries, {{"many", limit}}, 11);
    spread_unevenly(fleet, "many", limit.rate_per_second * factor);
    fleet.run_for(start_time);
    auto& totals = fleet.totals("many");
    begin_counting(totals);
    fleet.run_for(30s);
    CAPTURE(factor, totals.offered, totals.ran, totals.limited, totals.unanswered, fleet.messages());
    REQUIRE(worst_excess(totals, limit) <= 0);
    // A refusal below the limit is a loss: the tokens that nobody uses stay few.
    REQUIRE(static_cast<double>(totals.ran) >= 0.93 * limit.rate_per_second * 30);
    REQUIRE(totals.unanswered == 0);
}

TEST_CASE("an account with one caller uses its whole limit and not more", "[quota_bound]") {
    const double factor = GENERATE(1.2, 2.0, 5.0);
    const accounts::account_limit limit{40, 10};
    model_quota fleet(entries, {{"one", limit}}, 12);
    fleet.set_demand("one", 5, limit.rate_per_second * factor);
    fleet.run_for(start_time);
    auto& totals = fleet.totals("one");
    begin_counting(totals);
    fleet.run_for(30s);
    CAPTURE(factor, totals.offered, totals.ran, totals.limited, totals.unanswered);
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(static_cast<double>(totals.ran) >= 0.93 * limit.rate_per_second * 30);
}

TEST_CASE("an account within its limit is not refused though its demand is spread thinly", "[quota_bound]") {
    const accounts::account_limit limit{8, 8};
    model_quota fleet(entries, {{"thin", limit}}, 13);
    for (std::size_t index = 0; index < entries; ++index) {
        fleet.set_demand("thin", index, 0.1);
    }
    fleet.run_for(start_time + 5s);
    auto& totals = fleet.totals("thin");
    begin_counting(totals);
    fleet.run_for(60s);
    CAPTURE(totals.offered, totals.limited, totals.unanswered);
    REQUIRE(totals.offered > 300);
    REQUIRE(totals.limited == 0);
    REQUIRE(totals.unanswered == 0);
    REQUIRE(worst_excess(totals, limit) <= 0);
}

TEST_CASE("a burst after silence runs up to the burst and stays within the bound", "[quota_bound]") {
    const accounts::account_limit limit{20, 200};
    model_quota fleet(entries, {{"burst", limit}}, 14);
    fleet.run_for(start_time + 15s);
    spread_unevenly(fleet, "burst", 400);
    fleet.run_for(10s);
    auto& totals = fleet.totals("burst");
    CAPTURE(totals.offered, totals.ran, totals.limited);
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(totals.ran >= 200 + 20 * 10 * 0.9);
}

TEST_CASE("the bound holds while messages repeat, cross and arrive late", "[quota_bound]") {
    const accounts::account_limit limit{100, 50};
    model_quota fleet(entries, {{"many", limit}}, 15);
    fleet.repeated = 0.3;
    fleet.late = 0.1;
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(30s);
    REQUIRE(worst_excess(fleet.totals("many"), limit) <= 0);
}

TEST_CASE("the bound holds when the owner is replaced, and calls run again soon", "[quota_bound]") {
    const accounts::account_limit limit{100, 100};
    model_quota fleet(entries, {{"many", limit}}, 16);
    spread_unevenly(fleet, "many", 200);
    fleet.run_for(start_time + 5s);
    REQUIRE(fleet.holder() == 0U);
    fleet.daemon(0).is_dead = true;
    fleet.contenders = {1, 2};
    fleet.run_for(4s);
    REQUIRE(fleet.holder() == 1U);
    auto& totals = fleet.totals("many");
    begin_counting(totals);
    fleet.run_for(10s);
    REQUIRE(static_cast<double>(totals.ran) >= 0.9 * limit.rate_per_second * 10);
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
}

TEST_CASE("an owner that was frozen grants nothing after another took over", "[quota_bound]") {
    const auto time = GENERATE(300ms, 1000ms, 1600ms, 2500ms, 6000ms);
    const accounts::account_limit limit{100, 100};
    model_quota fleet(entries, {{"many", limit}}, 17);
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(start_time + 5s);
    REQUIRE(fleet.holder() == 0U);
    fleet.freeze(0, time);
    fleet.contenders = {1, 0};
    fleet.run_for(15s);
    CAPTURE(time.count());
    REQUIRE(worst_excess(fleet.totals("many"), limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
    REQUIRE(fleet.holder().has_value());
}

TEST_CASE("an entry that was frozen with tokens doesn't use them afterwards", "[quota_bound]") {
    const accounts::account_limit limit{100, 100};
    model_quota fleet(entries, {{"many", limit}}, 18);
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(start_time);
    for (int round = 0; round < 8; ++round) {
        for (std::size_t index = 2; index < 40; ++index) {
            fleet.freeze(index, 450ms + 40ms * round);
        }
        fleet.run_for(2s);
    }
    REQUIRE(worst_excess(fleet.totals("many"), limit) <= 0);
}

TEST_CASE("a third of the fleet that is cut off doesn't exceed the limit", "[quota_bound]") {
    const accounts::account_limit limit{100, 50};
    model_quota fleet(entries, {{"many", limit}}, 19);
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(start_time + 3s);
    const bool owner_is_cut_off = GENERATE(false, true);
    for (std::size_t index = owner_is_cut_off ? 0 : 2; index < 24; ++index) {
        fleet.daemon(index).is_cut_off = true;
    }
    if (owner_is_cut_off) {
        // The others take the owner for dead; it still reaches the store and keeps the lease until it is cut
        // off from that as well.
        fleet.contenders = {30, 31};
        fleet.run_for(5s);
        fleet.daemon(0).is_without_store = true;
        fleet.daemon(1).is_without_store = true;
    }
    fleet.run_for(10s);
    for (std::size_t index = 0; index < 24; ++index) {
        fleet.daemon(index).is_cut_off = false;
        fleet.daemon(index).is_without_store = false;
    }
    fleet.run_for(10s);
    auto& totals = fleet.totals("many");
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
}

TEST_CASE("while the store is unavailable no lease outlives its time, and calls run again after it",
          "[quota_bound]") {
    const accounts::account_limit limit{100, 50};
    model_quota fleet(entries, {{"many", limit}}, 20);
    spread_unevenly(fleet, "many", 200);
    fleet.run_for(start_time + 3s);
    fleet.store().is_available = false;
    fleet.run_for(1600ms);
    REQUIRE_FALSE(fleet.holder().has_value());
    fleet.run_for(10s);
    fleet.store().is_available = true;
    fleet.run_for(4s);
    REQUIRE(fleet.holder().has_value());
    auto& totals = fleet.totals("many");
    begin_counting(totals);
    fleet.run_for(5s);
    REQUIRE(static_cast<double>(totals.ran) >= 0.9 * limit.rate_per_second * 5);
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
}

TEST_CASE("a store outage shorter than the lease is not noticed", "[quota_bound]") {
    const accounts::account_limit limit{100, 50};
    model_quota fleet(entries, {{"many", limit}}, 21);
    spread_unevenly(fleet, "many", 80);
    fleet.run_for(start_time + 3s);
    auto& totals = fleet.totals("many");
    begin_counting(totals);
    fleet.store().is_available = false;
    fleet.run_for(500ms);
    fleet.store().is_available = true;
    fleet.run_for(3s);
    REQUIRE(totals.unanswered == 0);
    REQUIRE(fleet.holder() == 0U);
}

TEST_CASE("a lease that is missing or older after a restore is not held twice", "[quota_bound]") {
    const bool is_missing = GENERATE(true, false);
    const auto age = GENERATE(2000ms, 5000ms);
    const accounts::account_limit limit{100, 100};
    model_quota fleet(entries, {{"many", limit}}, 22);
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(start_time);
    auto copy = fleet.store();
    if (is_missing) {
        copy.object.reset();
    }
    // Another daemon holds the lease after the copy was made.
    fleet.freeze(0, age - 100ms);
    fleet.contenders = {1, 0};
    fleet.run_for(age);
    copy.is_available = true;
    fleet.store() = copy;
    fleet.contenders = {2, 1};
    fleet.run_for(15s);
    CAPTURE(is_missing, age.count());
    REQUIRE(worst_excess(fleet.totals("many"), limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
    REQUIRE(fleet.holder().has_value());
}

TEST_CASE("a lowered limit binds one window after the change", "[quota_bound]") {
    model_quota fleet(entries, {{"many", {200, 200}}}, 23);
    spread_unevenly(fleet, "many", 400);
    fleet.run_for(start_time + 5s);
    const accounts::account_limit lowered{50, 20};
    fleet.set_limits({{"many", lowered}});
    // Tokens granted before the change may be used for their lifetime.
    fleet.run_for(token_lifetime);
    auto& totals = fleet.totals("many");
    totals.starts.clear();
    fleet.run_for(20s);
    REQUIRE(worst_excess(totals, lowered) <= 0);
    REQUIRE(totals.starts.size() >= 50 * 18);
}

TEST_CASE("the bound holds in a rolling restart and when all restart at once", "[quota_bound]") {
    const bool at_once = GENERATE(true, false);
    const accounts::account_limit limit{100, 100};
    model_quota fleet(entries, {{"many", limit}}, 24);
    spread_unevenly(fleet, "many", 300);
    fleet.run_for(start_time + 5s);
    for (std::size_t index = 0; index < entries; ++index) {
        fleet.restart(index);
        fleet.run_for(at_once ? 0ms : 300ms);
    }
    fleet.run_for(10s);
    auto& totals = fleet.totals("many");
    REQUIRE(worst_excess(totals, limit) <= 0);
    REQUIRE(fleet.most_holders() == 1);
    begin_counting(totals);
    fleet.run_for(5s);
    REQUIRE(static_cast<double>(totals.ran) >= 0.9 * limit.rate_per_second * 5);
}

TEST_CASE("several accounts of one shard don't take each other's tokens", "[quota_bound]") {
    const accounts::account_limit small{10, 10};
    const accounts::account_limit large{200, 100};
    account_limits limits;
    // The model has one shard, so it needs names of the same one.
    std::vector<std::string> names;
    for (int number = 0; names.size() < 5; ++number) {
        const auto name = "account-" + std::to_string(number);
        if (names.empty() || shard_of(name) == shard_of(names.front())) {
            names.push_back(name);
            limits[name] = names.size() == 1 ? large : small;
        }
    }
    model_quota fleet(entries, limits, 25);
    spread_unevenly(fleet, names[0], 1000);
    for (std::size_t index = 1; index < names.size(); ++index) {
        spread_unevenly(fleet, names[index], 7);
    }
    fleet.run_for(start_time + 3s);
    for (const auto& name : names) {
        begin_counting(fleet.totals(name));
    }
    fleet.run_for(20s);
    REQUIRE(worst_excess(fleet.totals(names[0]), large) <= 0);
    for (std::size_t index = 1; index < names.size(); ++index) {
        const auto& totals = fleet.totals(names[index]);
        CAPTURE(names[index], totals.offered, totals.limited, totals.unanswered);
        REQUIRE(worst_excess(totals, small) <= 0);
        REQUIRE(totals.unanswered == 0);
        REQUIRE(static_cast<double>(totals.limited) <= 0.01 * static_cast<double>(totals.offered));
    }
}
