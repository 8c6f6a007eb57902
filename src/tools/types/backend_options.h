#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// Target of the nested call that a backend server makes to another service for each request it runs.
struct nested_target {
    std::string service;
    std::string path;
};

/// Probability distribution of the service times.
enum class service_distribution { fixed, exponential };

/// Options of one backend stand-in.
struct backend_options {
    std::string service;
    std::string listen = "127.0.0.1:0";
    std::string daemon_admin; ///< Admin address of the daemon to announce to; empty for no announcements.
    std::string daemon_http;  ///< Caller address of the daemon that nested calls go to.
    std::vector<nested_target> calls; ///< Nested calls of each request, made one after the other.
    std::uint32_t slots = 8;
    std::uint32_t connections = 64;
    std::chrono::microseconds service_time{1000};
    service_distribution distribution = service_distribution::fixed;
    std::uint64_t seed = 1;
    std::chrono::milliseconds cold_start{0}; ///< Initial period of longer service times; 0 for none.
    std::size_t threads = 2;
};

} // namespace monsoonlift::tools
