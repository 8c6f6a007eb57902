#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonlift::tools {

/// How a relay imitates a link between data centres.
struct relay_options {
    std::string listen = "127.0.0.1:0";
    std::string target;
    std::string prompt_from; ///< Connections from this ip are relayed without delay; empty for none.
    std::chrono::microseconds delay{0};  ///< One way, for every byte.
    std::chrono::microseconds jitter{0}; ///< Mean of an exponential addition; order is kept.
    double stall_share = 0;              ///< Share of pieces that stall their direction.
    std::chrono::microseconds stall{0};  ///< Length of a stall, as a lost packet causes.
    std::uint64_t seed = 1;
};

} // namespace monsoonlift::tools
