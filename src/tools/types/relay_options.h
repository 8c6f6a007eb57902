#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonlift::tools {

/// How a relay simulates a link between data centres.
struct relay_options {
    std::string listen = "127.0.0.1:0";
    std::string target;
    std::string prompt_from; ///< Connections from this IP address are relayed without delay; empty for none.
    std::chrono::microseconds delay{0};  ///< One-way delay of every byte.
    std::chrono::microseconds jitter{0}; ///< Mean of an exponential extra delay; keeps the order.
    double stall_share = 0;              ///< Share (0 to 1) of pieces that stall, with all data behind them.
    std::chrono::microseconds stall{0};  ///< Duration of a stall, which simulates a lost packet.
    std::uint64_t seed = 1;
};

} // namespace monsoonlift::tools
