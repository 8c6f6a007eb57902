/// platform-standin: a small in-memory platform for tests and measurements.
#include "app/platform_standin/standin_server.h"
#include "platform/testing/store_paths.h"

#include <csignal>
#include <exception>
#include <iostream>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <docopt/docopt.h>

#include "core/network_address.h"
#include "store/http_target.h"

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
    const auto address = monsoonlift::core::parse_network_address(text);
    if (!address) {
        throw std::invalid_argument("--listen takes ip:port, found \"" + text + "\"");
    }
    return address->endpoint<asio::ip::tcp>();
}

int serve(const std::string& listen, std::uint64_t seed) {
    asio::io_context context(1);
    monsoonlift::platform_standin::standin_server server(context, parse_listen(listen), seed);
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&context](const boost::system::error_code&, int) { context.stop(); });
    server.serve_also(monsoonlift::platform::testing::handle_store_call);
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
        const auto seed = monsoonlift::store::parse_whole_number(arguments.at("--seed").asString());
        return serve(arguments.at("--listen").asString(), seed.value_or(1));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return 0;
    } catch (const std::exception& wrong) {
        std::cerr << "platform-standin: " << wrong.what() << '\n';
        return exit_usage;
    }
}
