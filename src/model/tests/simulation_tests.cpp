#include "model/simulation.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>

using namespace monsoonlift::model;
using namespace std::chrono_literals;

namespace {

constexpr std::array<std::uint64_t, 2> seeds = {1, 2};

/// Time after the surge during which the recovery is observed.
constexpr run_time watched_recovery = 3s;

run_time longest_patience(const scenario& simulated) {
    run_time longest = 1s;
    for (const auto& callers : simulated.classes) {
        longest = std::max<run_time>(longest, callers.patience);
    }
    return longest;
}

/// Returns the scenario with its surge and its faults set to last for `surge`.
scenario shortened(const std::string& name, run_time surge) {
    scenario simulated = *find_scenario(name);
    for (auto& fault : simulated.faults) {
        fault.from = 3s;
        fault.until = 3s + surge;
    }
    simulated.surge_from = 3s;
    simulated.surge_until = 3s + surge;
    simulated.length = simulated.surge_until + watched_recovery + longest_patience(simulated);
    return simulated;
}

double whole_ratio_surge(const model_result& result, const std::string& name) {
    const auto found = std::find_if(result.classes.begin(), result.classes.end(),
                                    [&](const auto& figures) { return figures.name == name; });
    REQUIRE(found != result.classes.end());
    return found->whole_ratio_surge;
}

} // namespace

TEST_CASE("the same seed gives the same figures", "[model]") {
    const auto simulated = shortened("mislead", 1s);
    const auto first = simulate(simulated, rule_set{}, 7);
    const auto second = simulate(simulated, rule_set{}, 7);
    REQUIRE(first.classes[0].whole == second.classes[0].whole);
    REQUIRE(first.classes[1].p99_ms == second.classes[1].p99_ms);
}

TEST_CASE("goodput, urgent calls and recovery hold at three times the capacity, with and without packet loss",
          "[model]") {
    for (const std::string name : {"overload", "delay"}) {
        for (const auto seed : seeds) {
            const auto result = simulate(shortened(name, 4s), rule_set{}, seed);
            CAPTURE(name, seed);
            REQUIRE(result.goodput_ratio >= 0.90);
            REQUIRE(whole_ratio_surge(result, "dispatch") >= 0.99);
            REQUIRE(result.recovery_seconds <= 2);
        }
    }
}

TEST_CASE("goodput and the class shed last hold when long requests run on few slots", "[model]") {
    for (const auto seed : seeds) {
        const auto result = simulate(*find_scenario("long_runs"), rule_set{}, seed);
        CAPTURE(seed, result.goodput_ratio);
        REQUIRE(result.goodput_ratio >= 0.90);
        REQUIRE(whole_ratio_surge(result, "dispatch") >= 0.99);
        REQUIRE(result.recovery_seconds <= 2);
    }
}

TEST_CASE("the sampled slot shares add up to one and match the goodput", "[model]") {
    // NOTE: service times are random, so goodput and busy time of one run differ by about 0.01.
    constexpr std::uint64_t run_count = 8;
    double unexplained = 0;
    for (std::uint64_t seed = 1; seed <= run_count; ++seed) {
        const auto result = simulate(*find_scenario("single_slot"), rule_set{}, seed);
        const auto& slots = result.slots;
        const double idle = slots.idle_own_queue + slots.idle_other_queue + slots.idle_no_queue;
        CAPTURE(seed, slots.busy, idle, result.goodput_ratio);
        REQUIRE(std::abs(slots.busy + idle - 1) < 1e-9);
        REQUIRE(slots.idle_own_queue < 0.001);
        unexplained += (result.goodput_ratio - slots.busy) / run_count;
        REQUIRE(result.refusals.at_entry + result.refusals.by_threshold > 0);
    }
    REQUIRE(std::abs(unexplained) < 0.01);
}

TEST_CASE("calls seldom wait at one server while another is idle", "[model]") {
    constexpr std::uint64_t most_seeds = 4;
    double idle = 0;
    for (std::uint64_t seed = 1; seed <= most_seeds; ++seed) {
        idle += simulate(*find_scenario("single_slot"), rule_set{}, seed).slots.idle_other_queue;
    }
    REQUIRE(idle / most_seeds <= 0.064);
}

TEST_CASE("goodput collapses under overload when all rules are disabled", "[model]") {
    const auto result = simulate(shortened("overload", 4s), pass_through(), 1);
    REQUIRE(result.goodput_ratio < 0.5);
    REQUIRE(result.recovery_seconds > 2);
}

TEST_CASE("attempts, goodput and recovery hold when the deepest service of a chain slows down", "[model]") {
    constexpr double slow_capacity = 0.1;
    for (const std::string name : {"chain5", "chain29"}) {
        const auto result = simulate(*find_scenario(name), rule_set{}, 1);
        CAPTURE(name);
        REQUIRE(result.attempts_per_root_deepest <= 1.1);
        REQUIRE(result.goodput_ratio >= 0.85 * slow_capacity);
        REQUIRE(result.recovery_seconds <= 2);
    }
}

TEST_CASE("attempts at the deepest service stay bounded when every attempt fails", "[model]") {
    for (const std::string name : {"breaking5", "refusing29", "breaking29"}) {
        const auto result = simulate(shortened(name, 2s), rule_set{}, 1);
        CAPTURE(name);
        REQUIRE(result.attempts_per_root_deepest <= 1.1);
        REQUIRE(result.recovery_seconds <= 2);
    }
}

TEST_CASE("chains end at the first refusal of a service with free slots though retries are left", "[model]") {
    rule_set without;
    without.disable(rule::leaf_retries);
    double chains = 0;
    double chains_without = 0;
    for (const auto seed : seeds) {
        const auto simulated = *find_scenario("refusing_some");
        const auto result = simulate(simulated, rule_set{}, seed);
        const auto plain = simulate(simulated, without, seed);
        chains += whole_ratio_surge(result, "lookup");
        chains_without += whole_ratio_surge(plain, "lookup");
        CAPTURE(seed, result.repeats_deepest_worst);
        REQUIRE(whole_ratio_surge(result, "note") >= whole_ratio_surge(plain, "note"));
        REQUIRE(result.repeats_deepest_worst <= 0.15);
        REQUIRE(result.recovery_seconds <= 2);
    }
    CAPTURE(chains, chains_without);
    REQUIRE(chains >= 1.5 * chains_without);
}

TEST_CASE("two faulty servers that report themselves idle cost the healthy ones at most 5% of goodput",
          "[model]") {
    for (const auto seed : seeds) {
        scenario with_faults = shortened("mislead", 4s);
        scenario without = with_faults;
        without.faults.clear();
        without.services[0].servers -= 2;
        // NOTE: the absolute demand stays the same, so it is a larger share of the smaller fleet's capacity.
        for (auto& callers : without.classes) {
            callers.load *= 8.0 / 6.0;
            callers.surge *= 8.0 / 6.0;
        }
        const auto misled = simulate(with_faults, rule_set{}, seed);
        const auto alone = simulate(without, rule_set{}, seed);
        const double misled_goodput = misled.goodput_ratio * misled.capacity_per_second;
        const double alone_goodput = alone.goodput_ratio * alone.capacity_per_second;
        REQUIRE(misled_goodput >= 0.95 * alone_goodput);
    }
}

TEST_CASE("callers that leave early don't make routing avoid healthy servers", "[model]") {
    for (const auto seed : seeds) {
        const auto result = simulate(*find_scenario("impatient"), rule_set{}, seed);
        CAPTURE(seed);
        REQUIRE(result.goodput_ratio >= 0.88);
        REQUIRE(whole_ratio_surge(result, "dispatch") >= 0.99);
    }
}

TEST_CASE("a slow server whose callers leave early causes few failed calls", "[model]") {
    for (const auto seed : seeds) {
        const auto result = simulate(shortened("leaving", 4s), rule_set{}, seed);
        CAPTURE(seed);
        REQUIRE(whole_ratio_surge(result, "lookup") >= 0.98);
    }
}

TEST_CASE("a scenario loses goodput without the rule that it depends on", "[model]") {
    struct worth_case {
        std::string name;
        rule dropped;
        double least_gain; ///< Minimum ratio of the goodput with the rule to the goodput without it.
    };
    const worth_case cases[] = {
        {"crossing", rule::shedding, 1.5},          {"crossing", rule::root_consistency, 1.3},
        {"overload", rule::load_reports, 1.1},      {"mislead", rule::success_routing, 1.2},
        {"overload", rule::concurrency_bound, 1.5}, {"strained", rule::limit_trial, 1.1},
        {"cold_contended", rule::cold_ramp, 1.05},
    };
    for (const auto& tried : cases) {
        const auto simulated = shortened(tried.name, 3s);
        rule_set rules;
        const double with_rule = simulate(simulated, rules, 1).goodput_ratio;
        rules.disable(tried.dropped);
        const double without_rule = simulate(simulated, rules, 1).goodput_ratio;
        CAPTURE(tried.name, to_string(tried.dropped), with_rule, without_rule);
        REQUIRE(with_rule >= tried.least_gain * without_rule);
    }
}

TEST_CASE("the class shed last succeeds on servers that refuse requests beyond their real slots", "[model]") {
    const auto result = simulate(shortened("refusing_excess", 5s), rule_set{}, 1);
    REQUIRE(whole_ratio_surge(result, "dispatch") >= 0.99);
    REQUIRE(result.goodput_ratio >= 0.90);
}

TEST_CASE("a service at the end of chains spends its runs on root calls that fail", "[model]") {
    rule_set learned;
    learned.chains = chain_rule::learned;
    rule_set whole;
    whole.chains = chain_rule::whole;
    for (const std::string name : {"fan_1.2", "fan_2", "fan_5", "fan_burst", "fan_bursts"}) {
        const auto simulated = *find_scenario(name);
        const auto before = simulate(simulated, learned, 1);
        const auto after = simulate(simulated, whole, 1);
        CAPTURE(name);
        REQUIRE(after.wasted_deepest_ratio <= 0.05);
        REQUIRE(after.goodput_ratio > before.goodput_ratio);
        REQUIRE(after.refused_p99_ms <= 10);
    }
}
