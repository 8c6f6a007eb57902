#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// A span of the run with its own rates.
struct phase {
    std::string name;
    std::chrono::milliseconds duration{0};
};

/// One kind of call and how its callers behave.
struct call_class {
    std::string name;
    std::string service;
    std::string caller;
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::string> targets;         ///< Daemons it is sent to in turn.
    std::vector<double> rates;                ///< Calls a second, for each phase.
    std::chrono::milliseconds timeout{1000};  ///< Waiting for one attempt.
    std::chrono::milliseconds patience{1000}; ///< Waiting for the whole; no attempt begins after it.
    std::uint32_t attempts = 1;
    std::chrono::milliseconds retry_interval{0};
    std::uint64_t body_bytes = 0;
    std::uint64_t response_bytes = 0; ///< Length of the answer's body; 0 for the stand-in's JSON answer.
    bool keyed = false;               ///< Sent with an Idempotency-Key, the same in each attempt.
};

/// An open-loop run.
struct scenario {
    std::uint64_t seed = 1;
    std::size_t threads = 2;
    std::size_t connections = 2000;         ///< At most so many for each thread and target.
    std::chrono::milliseconds linger{2000}; ///< After the last phase, for answers under way.
    std::vector<phase> phases;
    std::vector<call_class> classes;
};

} // namespace monsoonlift::tools
