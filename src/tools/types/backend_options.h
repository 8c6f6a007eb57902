#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// A call that a backend server makes to another service for each request of its own.
struct nested_target {
    std::string service;
    std::string path;
};

/// How service times are drawn.
enum class service_distribution { fixed, exponential };

/// Options of one backend stand-in.
struct backend_options {
    std::string service;
    std::string listen = "127.0.0.1:0";
    std::string daemon_admin;         ///< Where it announces itself; empty for nowhere.
    std::string daemon_http;          ///< Where its nested calls go.
    std::vector<nested_target> calls; ///< Made one after the other.
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::chrono::microseconds service_time{1000};
    service_distribution distribution = service_distribution::fixed;
    std::uint64_t seed = 1;
    std::chrono::milliseconds cold_start{0}; ///< While it lasts, service takes longer.
    std::size_t threads = 2;
};

} // namespace monsoonlift::tools
