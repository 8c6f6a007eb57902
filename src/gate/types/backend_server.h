#pragma once

#include <cstdint>
#include <string>

namespace monsoonlift::gate {

/// What a backend server says of itself when it announces itself to its daemon.
struct backend_server {
    std::string service;
    std::string address; ///< "ip:port" of its HTTP server.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::string instance = {}; ///< Differs for each start of the backend server; empty if it doesn't say.

    std::string id = {}; ///< Name that requests must carry to be run by it; empty if it checks none.

    bool operator==(const backend_server&) const = default;
};

} // namespace monsoonlift::gate
