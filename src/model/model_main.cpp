/// Simulates one scenario and prints its figures as one JSON object.
#include "model/simulation.h"

#include <boost/json.hpp>
#include <docopt/docopt.h>

#include <iostream>
#include <string>

namespace {

using namespace monsoonlift;

constexpr const char* usage = R"(Runs a scenario against the policies, in virtual time.

Usage:
  monsoonlift-model SCENARIO [--seed=S] [--without=RULE]... [--order=ORDER] [--chains=RULE] [--pass-through]
  monsoonlift-model --list
  monsoonlift-model --help

Options:
  --seed=S        Seed of the random generator [default: 1].
  --without=RULE  Disables one rule; may be given several times.
  --order=ORDER   Order of waiting calls: first_come, last_come, adaptive, earliest_deadline [default: adaptive].
  --chains=RULE   How calls are admitted whose chain leads to an overloaded service: none, learned, whole
                  [default: none].
  --pass-through  Disables every rule.
  --list          Prints the scenarios and the rules.
)";

std::optional<admission::queue_order> parse_order(const std::string& text) {
    using admission::queue_order;
    if (text == "first_come") {
        return queue_order::first_come;
    }
    if (text == "last_come") {
        return queue_order::last_come;
    }
    if (text == "adaptive") {
        return queue_order::adaptive;
    }
    if (text == "earliest_deadline") {
        return queue_order::earliest_deadline;
    }
    return std::nullopt;
}

std::optional<model::chain_rule> parse_chains(const std::string& text) {
    if (text == "none") {
        return model::chain_rule::none;
    }
    if (text == "learned") {
        return model::chain_rule::learned;
    }
    if (text == "whole") {
        return model::chain_rule::whole;
    }
    return std::nullopt;
}

boost::json::object to_json(const model::model_result& result) {
    boost::json::array classes;
    for (const auto& figures : result.classes) {
        classes.push_back({{"name", figures.name},
                           {"wanted", figures.wanted},
                           {"whole", figures.whole},
                           {"whole_ratio_surge", figures.whole_ratio_surge},
                           {"p99_ms", figures.p99_ms}});
    }
    const boost::json::object slots = {{"busy", result.slots.busy},
                                       {"idle_own_queue", result.slots.idle_own_queue},
                                       {"idle_other_queue", result.slots.idle_other_queue},
                                       {"idle_no_queue", result.slots.idle_no_queue}};
    const boost::json::object refusals = {{"at_entry", result.refusals.at_entry},
                                          {"by_threshold", result.refusals.by_threshold},
                                          {"with_a_free_slot", result.refusals.with_a_free_slot},
                                          {"below", result.refusals.below},
                                          {"without_time_left", result.refusals.without_time_left},
                                          {"in_queue", result.refusals.in_queue}};
    return {{"capacity_per_second", result.capacity_per_second},
            {"goodput_ratio", result.goodput_ratio},
            {"steady_whole_ratio", result.steady_whole_ratio},
            {"recovery_seconds", result.recovery_seconds},
            {"attempts_per_root_deepest", result.attempts_per_root_deepest},
            {"repeats_deepest_worst", result.repeats_deepest_worst},
            {"root_sends_per_call", result.root_sends_per_call},
            {"wasted_deepest_ratio", result.wasted_deepest_ratio},
            {"failed_ratio_surge", result.failed_ratio_surge},
            {"refused_p50_ms", result.refused_p50_ms},
            {"refused_p99_ms", result.refused_p99_ms},
            {"wasted_runs_ratio", result.wasted_runs_ratio},
            {"slots", slots},
            {"refusals", refusals},
            {"classes", classes}};
}

int list() {
    for (const auto& name : model::scenario_names()) {
        std::cout << "scenario " << name << '\n';
    }
    for (std::size_t index = 0; index < static_cast<std::size_t>(model::rule::count); ++index) {
        std::cout << "rule " << model::to_string(static_cast<model::rule>(index)) << '\n';
    }
    return 0;
}

int refuse(const std::string& message) {
    std::cerr << "monsoonlift-model: " << message << "; see --list and --help\n";
    return 2;
}

int run(std::map<std::string, docopt::value>& arguments) {
    const auto simulated = model::find_scenario(arguments["SCENARIO"].asString());
    if (!simulated) {
        return refuse("no scenario named " + arguments["SCENARIO"].asString());
    }
    auto rules = arguments["--pass-through"].asBool() ? model::pass_through() : model::rule_set{};
    const auto order = parse_order(arguments["--order"].asString());
    if (!order) {
        return refuse("no order named " + arguments["--order"].asString());
    }
    rules.order = *order;
    const auto chains = parse_chains(arguments["--chains"].asString());
    if (!chains) {
        return refuse("no rule for chains named " + arguments["--chains"].asString());
    }
    rules.chains = *chains;
    boost::json::array without;
    for (const auto& name : arguments["--without"].asStringList()) {
        const auto unwanted = model::parse_rule(name);
        if (!unwanted) {
            return refuse("no rule named " + name);
        }
        rules.disable(*unwanted);
        without.emplace_back(name);
    }
    const auto seed = static_cast<std::uint64_t>(arguments["--seed"].asLong());
    auto figures = to_json(model::simulate(*simulated, rules, seed));
    figures["scenario"] = simulated->name;
    figures["seed"] = seed;
    figures["without"] = without;
    std::cout << boost::json::serialize(figures) << '\n';
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc}, true);
    if (arguments["--list"].asBool()) {
        return list();
    }
    return run(arguments);
}
