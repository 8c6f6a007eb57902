#include "core/system_clock.h"
#include "tools/backend_server.h"
#include "tools/backend_state.h"

#include <iostream>
#include <map>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <docopt/docopt.h>

namespace {

using namespace monsoonlift;

constexpr const char* usage = R"(A stand-in for a backend server, for tests and measurements.

Usage:
  backend-standin --service=NAME [options] [--calls=TARGET]...
  backend-standin --help

Options:
  --service=NAME        Service that it simulates.
  --listen=ADDRESS      Address to listen on [default: 127.0.0.1:0].
  --daemon=ADDRESS      Admin address of the local daemon, for announcements.
  --daemon-http=ADDRESS Caller address of the local daemon, for nested calls.
  --calls=TARGET        service:path of a nested call made for each request; may be repeated.
  --slots=N             Requests run concurrently [default: 8].
  --connections=N       Connections open concurrently [default: 64].
  --service-ms=TIME     Mean service time in milliseconds [default: 1].
  --distribution=NAME   fixed or exponential [default: fixed].
  --seed=N              Seed of the random numbers [default: 1].
  --cold-start-ms=TIME  Time after the start with longer service times, five times at first [default: 0].
  --threads=N           Worker threads [default: 2].
  -h --help             Show this text.
)";

std::string text_of(const std::map<std::string, docopt::value>& arguments, const std::string& name) {
    const auto& value = arguments.at(name);
    return value.isString() ? value.asString() : std::string();
}

tools::nested_target nested_target_of(const std::string& text) {
    const auto colon = text.find(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--calls expects service:path, got " + text);
    }
    return {text.substr(0, colon), text.substr(colon + 1)};
}

tools::service_distribution distribution_of(const std::string& text) {
    if (text == "fixed") {
        return tools::service_distribution::fixed;
    }
    if (text == "exponential") {
        return tools::service_distribution::exponential;
    }
    throw std::invalid_argument("--distribution expects fixed or exponential, got " + text);
}

tools::backend_options options_of(const std::map<std::string, docopt::value>& arguments) {
    const auto number = [&](const char* name) {
        return static_cast<std::uint32_t>(std::stoul(text_of(arguments, name)));
    };
    const std::chrono::duration<double, std::milli> service_time(
        std::stod(text_of(arguments, "--service-ms")));
    tools::backend_options options;
    options.service = text_of(arguments, "--service");
    options.listen = text_of(arguments, "--listen");
    options.daemon_admin = text_of(arguments, "--daemon");
    options.daemon_http = text_of(arguments, "--daemon-http");
    for (const auto& target : arguments.at("--calls").asStringList()) {
        options.calls.push_back(nested_target_of(target));
    }
    options.slots = number("--slots");
    options.connections = number("--connections");
    options.service_time = std::chrono::duration_cast<std::chrono::microseconds>(service_time);
    options.distribution = distribution_of(text_of(arguments, "--distribution"));
    options.seed = std::stoull(text_of(arguments, "--seed"));
    options.cold_start = std::chrono::milliseconds(number("--cold-start-ms"));
    options.threads = number("--threads");
    return options;
}

void run(const tools::backend_options& options) {
    const core::system_clock clock;
    tools::backend_state state(options, clock);
    boost::asio::io_context context(static_cast<int>(options.threads));
    const auto server = tools::make_backend_server(context, state);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            server->leave();
        }
    });
    server->start();
    const boost::json::object ready{{"service", options.service}, {"address", server->address()}};
    std::cout << "ready " << boost::json::serialize(ready) << std::endl;
    std::vector<std::thread> workers;
    for (std::size_t i = 0; i < options.threads; ++i) {
        workers.emplace_back([&] { context.run(); });
    }
    for (auto& worker : workers) {
        worker.join();
    }
}

} // namespace

int main(int argc, char** argv) {
    const auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    try {
        run(options_of(arguments));
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "backend-standin: " << failure.what() << '\n';
        return 1;
    }
}
