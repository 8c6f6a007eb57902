#include "tools/load_run.h"
#include "tools/scenario_reader.h"

#include <fstream>
#include <iostream>
#include <sstream>
#include <string>

#include <docopt/docopt.h>

namespace {

using namespace monsoonlift;

constexpr const char* usage =
    R"(Open-loop load generator: sends the calls of a scenario and prints the results as JSON.

Usage:
  monsoonlift-load --scenario=FILE [--seed=N] [--record=FILE]
  monsoonlift-load --help

Options:
  --scenario=FILE  Scenario in YAML or JSON; docs/MEASURING.md lists its keys.
  --seed=N         Seed that overrides the scenario's.
  --record=FILE    Writes one line of JSON for each call with an Idempotency-Key.
  -h --help        Show this text.
)";

constexpr int exit_invalid_scenario = 2;

std::string read_file(const std::string& name) {
    std::ifstream file(name);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int run(tools::scenario scenario, const std::map<std::string, docopt::value>& arguments) {
    if (arguments.at("--seed")) {
        scenario.seed = std::stoull(arguments.at("--seed").asString());
    }
    std::ofstream record;
    tools::call_observer observer;
    if (arguments.at("--record")) {
        record.open(arguments.at("--record").asString());
        observer = [&](const tools::call_report& call) {
            if (!call.key.empty()) {
                record << tools::to_json(scenario, call) << '\n';
            }
        };
    }
    const auto results = tools::run_load(scenario, observer);
    std::cout << tools::to_json(scenario, results) << std::endl;
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    try {
        const auto read = tools::read_scenario(read_file(arguments.at("--scenario").asString()));
        if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&read)) {
            for (const auto& error : *errors) {
                std::cerr << settings::to_string(error) << '\n';
            }
            return exit_invalid_scenario;
        }
        return run(std::get<tools::scenario>(read), arguments);
    } catch (const std::exception& failure) {
        std::cerr << "monsoonlift-load: " << failure.what() << '\n';
        return 1;
    }
}
