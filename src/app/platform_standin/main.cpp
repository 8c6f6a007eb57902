/// platform-standin: a small platform in memory, for tests and measurements.
#include "app/platform_standin/standin_server.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <limits>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <docopt/docopt.h>

#include "platform/http_target.h"

namespace {

namespace asio = boost::asio;

constexpr int exit_usage = 2;

constexpr auto usage = R"(The platform's object API in memory, for tests and measurements.

Usage:
  platform-standin [--listen ADDRESS] [--seed N]
  platform-standin --help

Options:
  --listen ADDRESS  "ip:port" to listen on; port 0 lets the system choose [default: 127.0.0.1:0].
  --seed N          Seed of the faults [default: 1].
  --help            Show this text.

Faults: POST /faults {"outage":bool,"silent":bool,"slow_ms":N,"lose_answers":0..1}. Counts: GET /stats.
)";

asio::ip::tcp::endpoint parse_listen(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        throw std::invalid_argument("--listen takes ip:port");
    }
    const auto port = monsoonlift::platform::parse_whole_number(std::string_view(text).substr(colon + 1));
    if (!port || *port > std::numeric_limits<std::uint16_t>::max()) {
        throw std::invalid_argument("--listen takes a port from 0 to 65535");
    }
    return {asio::ip::make_address(text.substr(0, colon)), static_cast<std::uint16_t>(*port)};
}

int serve(const std::string& listen, std::uint64_t seed) {
    asio::io_context context(1);
    monsoonlift::platform_standin::standin_server server(context, parse_listen(listen), seed);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    server.start();
    std::cout << "ready " << boost::json::serialize(boost::json::object{{"address", server.address()}})
              << std::endl;
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv) {
    try {
        const auto arguments = docopt::docopt_parse(usage, {argv + 1, argv + argc}, true);
        if (arguments.at("--help").asBool()) {
            std::cout << usage;
            return 0;
        }
        const auto seed = monsoonlift::platform::parse_whole_number(arguments.at("--seed").asString());
        return serve(arguments.at("--listen").asString(), seed.value_or(1));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const std::exception& wrong) {
        std::cerr << "platform-standin: " << wrong.what() << '\n';
        return exit_usage;
    }
}
