#include "app/monsoonliftd/daemon.h"
#include "logging/log4cplus_event_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include <unistd.h>

namespace {

using namespace monsoonlift;

constexpr auto usage =
    R"(The sidecar daemon of a backend server: entry and gate of the overload control layer.

Usage:
  monsoonliftd [--settings=FILE]
  monsoonliftd --help

Options:
  --settings=FILE  YAML file with the settings of this process; without it, the file that the environment
                   variable MONSOONLIFT_SETTINGS names.
  -h --help        Show this text.

The log goes to standard output, one JSON object per line; the line process_started has the addresses that the
process listens on.
Exit codes: 0 planned stop completed, 1 failed to start, 2 invalid settings.
)";

constexpr int exit_bad_settings = 2;

/// Daemons that one process runs one after another; more find another process at their address each time.
constexpr int max_beginnings = 3;

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

std::string settings_path(const docopt::value& option) {
    if (option.isString()) {
        return option.asString();
    }
    const char* named = std::getenv("MONSOONLIFT_SETTINGS");
    return named != nullptr ? named : "";
}

logging::log_options log_options_of(const settings::daemon_settings& chosen) {
    logging::log_options options;
    options.process = chosen.name;
    options.lowest = chosen.log_level;
    options.lines_per_second = static_cast<double>(chosen.log_lines_per_second);
    options.descriptor = STDOUT_FILENO;
    return options;
}

settings::settings_outcome read_settings(const std::string& path) {
    const auto text = read_file(path);
    if (!text) {
        return std::vector<settings::settings_error>{
            {path, 0, "a file that can't be read", "a settings file"}};
    }
    return settings::parse_daemon_settings(*text);
}

void log_start(const app::daemon& process, const settings::daemon_settings& chosen, logging::event_log& log) {
    const auto bound = process.addresses();
    log.write(logging::event_id::process_started, {{"fleet", chosen.fleet},
                                                   {"data_centre", chosen.data_centre},
                                                   {"caller", bound.caller},
                                                   {"admin", bound.admin},
                                                   {"transport", bound.transport},
                                                   {"membership", bound.membership}});
}

/// Keeps the signals of a planned stop that arrive while no daemon of this process receives them.
class stop_signals {
public:
    stop_signals() { wait(); }

    /// Whether a signal to stop has arrived.
    [[nodiscard]] bool has_arrived() {
        m_io.poll();
        return m_has_arrived;
    }

private:
    void wait() {
        m_signals.async_wait([this](const boost::system::error_code& failure, int signal) {
            if (failure) {
                return;
            }
            m_has_arrived = m_has_arrived || signal != SIGHUP;
            wait();
        });
    }

    boost::asio::io_context m_io;
    boost::asio::signal_set m_signals{m_io, SIGTERM, SIGINT, SIGHUP};
    bool m_has_arrived = false;
};

/// Runs a daemon, and another one with a later incarnation if peers took the predecessor of one for the later
/// process. Returns the exit code.
int run_daemons(settings::daemon_settings chosen, const std::string& path, logging::event_log& log) {
    stop_signals signals;
    core::incarnation predecessor;
    for (int beginnings = 1;; ++beginnings) {
        auto process = std::make_unique<app::daemon>(
            chosen, [path] { return read_file(path); }, log, predecessor);
        // NOTE: from here on the daemon receives the signals itself.
        if (signals.has_arrived()) {
            return 0;
        }
        process->start();
        log_start(*process, chosen, log);
        const auto found = process->run();
        if (!found || beginnings == max_beginnings) {
            // NOTE: the process ends at once; to take everything apart first could outlast the time for its
            // stop.
            static_cast<void>(process.release());
            return 0;
        }
        predecessor = *found;
        auto read = read_settings(path);
        if (auto* changed = std::get_if<settings::daemon_settings>(&read)) {
            chosen = std::move(*changed);
        }
    }
}

int serve(const settings::daemon_settings& chosen, const std::string& path) {
    core::system_clock clock;
    logging::log4cplus_event_log log(log_options_of(chosen), clock);
    try {
        return run_daemons(chosen, path, log);
    } catch (const std::exception& failure) {
        std::cerr << "monsoonliftd: " << failure.what() << '\n';
        return 1;
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    const auto path = settings_path(arguments.at("--settings"));
    if (path.empty()) {
        std::cerr << "monsoonliftd: neither --settings nor MONSOONLIFT_SETTINGS names a settings file\n";
        return exit_bad_settings;
    }
    const auto parsed = read_settings(path);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&parsed)) {
        for (const auto& error : *errors) {
            std::cerr << path << ": " << settings::to_string(error) << '\n';
        }
        return exit_bad_settings;
    }
    // NOTE: a normal exit would wait for the logging library's threads, which may never finish; by now all
    // output is written and everything is closed.
    std::quick_exit(serve(std::get<settings::daemon_settings>(parsed), path));
}
