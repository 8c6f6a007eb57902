#include "app/monsoonliftd/daemon.h"
#include "logging/log4cplus_event_log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <docopt/docopt.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>

namespace {

using namespace monsoonlift;

constexpr auto usage = R"(The daemon beside a backend server: entry and gate of the overload control layer.

Usage:
  monsoonliftd --settings=FILE
  monsoonliftd --help

Options:
  --settings=FILE  YAML file with the settings of this process.
  -h --help        Show this text.
)";

constexpr int exit_bad_settings = 2;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

int serve(const settings::daemon_settings& chosen) {
    logging::log4cplus_event_log log(chosen.name, chosen.log_level);
    try {
        app::daemon process(chosen, log);
        process.start();
        const auto bound = process.addresses();
        const boost::json::object addresses{{"caller", bound.caller},
                                            {"admin", bound.admin},
                                            {"transport", bound.transport},
                                            {"membership", bound.membership}};
        std::cout << "ready " << boost::json::serialize(addresses) << std::endl;
        log.write(logging::event_id::process_started, {{"caller", bound.caller}, {"admin", bound.admin}});
        process.run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "monsoonliftd: " << failure.what() << '\n';
        return 1;
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto path = arguments.at("--settings").asString();
    const auto text = read_file(path);
    if (!text) {
        std::cerr << "monsoonliftd: can't read " << path << '\n';
        return exit_bad_settings;
    }
    const auto parsed = settings::parse_daemon_settings(*text);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&parsed)) {
        for (const auto& error : *errors) {
            std::cerr << path << ": " << settings::to_string(error) << '\n';
        }
        return exit_bad_settings;
    }
    return serve(std::get<settings::daemon_settings>(parsed));
}
