#include "core/system_clock.h"
#include "tools/relay.h"

#include <iostream>
#include <map>
#include <string>

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <docopt/docopt.h>

namespace {

using namespace monsoonlift;

constexpr const char* usage = R"(A TCP relay that delays the data it forwards, for measurements.

Usage:
  delay-relay --target=ADDRESS [options]
  delay-relay --help

Options:
  --target=ADDRESS     Address to relay connections to.
  --listen=ADDRESS     Address to listen on [default: 127.0.0.1:0].
  --prompt-from=IP     Connections from this IP address are relayed without delay.
  --delay-ms=TIME      Delay of every byte, one way [default: 4].
  --jitter-ms=TIME     Mean of an exponentially distributed extra delay [default: 0].
  --stall-share=SHARE  Share (0 to 1) of pieces that stall, with all data behind them [default: 0].
  --stall-ms=TIME      Duration of a stall [default: 0].
  --seed=N             Seed of the random numbers [default: 1].
  -h --help            Show this text.
)";

tools::relay_options options_of(std::map<std::string, docopt::value>& arguments) {
    const auto time = [&](const char* name) {
        const std::chrono::duration<double, std::milli> value(std::stod(arguments[name].asString()));
        return std::chrono::duration_cast<std::chrono::microseconds>(value);
    };
    tools::relay_options options;
    options.listen = arguments["--listen"].asString();
    options.target = arguments["--target"].asString();
    const auto& prompt_from = arguments["--prompt-from"];
    options.prompt_from = prompt_from ? prompt_from.asString() : "";
    options.delay = time("--delay-ms");
    options.jitter = time("--jitter-ms");
    options.stall_share = std::stod(arguments["--stall-share"].asString());
    options.stall = time("--stall-ms");
    options.seed = std::stoull(arguments["--seed"].asString());
    return options;
}

} // namespace

int main(int argc, char** argv) {
    auto arguments = docopt::docopt(usage, {argv + 1, argv + argc});
    try {
        const core::system_clock clock;
        boost::asio::io_context context(1);
        const auto relay = tools::make_relay(context, clock, options_of(arguments));
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
        relay->start();
        std::cout << "ready " << boost::json::serialize(boost::json::object{{"address", relay->address()}})
                  << std::endl;
        context.run();
        return 0;
    } catch (const std::exception& failure) {
        std::cerr << "delay-relay: " << failure.what() << '\n';
        return 1;
    }
}
