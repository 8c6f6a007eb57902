#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::tools {

/// A period of the run with its own call rates.
struct phase {
    std::string name;
    std::chrono::milliseconds duration{0};
};

/// A class of calls that are alike, and the timeouts and retries of their callers.
struct call_class {
    std::string name;
    std::string service;
    std::string caller;
    std::string method = "GET";
    std::string path = "/";
    std::vector<std::string> targets;         ///< Addresses of the daemons, used in turn for each attempt.
    std::vector<double> rates;                ///< Calls per second in each phase, all threads together.
    std::chrono::milliseconds timeout{1000};  ///< Timeout of one attempt.
    std::chrono::milliseconds patience{1000}; ///< Timeout of all attempts together; none starts after it.
    std::uint32_t attempts = 1;
    std::chrono::milliseconds retry_interval{0};
    std::uint64_t body_bytes = 0;
    std::uint64_t response_bytes = 0; ///< Length of the answer's body; 0 for the stand-in's JSON answer.
    bool keyed = false;               ///< Calls carry an Idempotency-Key, the same in each attempt.
};

/// An open-loop load run: calls are sent at random times, independent of the answers.
struct scenario {
    std::uint64_t seed = 1;
    std::size_t threads = 2;
    std::size_t connections = 2000;         ///< Maximum number of connections for each thread and target.
    std::chrono::milliseconds linger{2000}; ///< Time after the last phase to receive outstanding answers.
    std::vector<phase> phases;
    std::vector<call_class> classes;
};

} // namespace monsoonlift::tools
