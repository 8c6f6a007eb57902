#pragma once

#include <cstdint>
#include <string>

namespace monsoonlift::gate {

/// What a backend server announces to its daemon.
struct backend_server {
    std::string service;
    std::string address; ///< "ip:port" of its HTTP server.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::string instance = {}; ///< Unique for each incarnation; empty if not announced.

    std::string id = {}; ///< Name that requests must carry for it to run them; empty if it does not check.

    bool operator==(const backend_server&) const = default;
};

} // namespace monsoonlift::gate
