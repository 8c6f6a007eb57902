#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <tuple>

namespace monsoonlift::gate {

/// What a backend server announces to its daemon.
struct backend_server {
    std::string service;
    std::string address; ///< "ip:port" of its HTTP server.
    std::uint32_t slots = 1;
    std::uint32_t connections = 1;
    std::string instance = {}; ///< Unique for each incarnation; empty if not announced.

    std::string id = {}; ///< Name that requests must carry for it to run them; empty if it does not check.

    /// How much longer it is slow after its start, at most; empty if it was not announced.
    std::optional<std::chrono::milliseconds> cold_for = {};

    /// Compares what stays the same from one announcement to the next.
    bool operator==(const backend_server& other) const {
        return std::tie(service, address, slots, connections, instance, id) ==
               std::tie(other.service, other.address, other.slots, other.connections, other.instance,
                        other.id);
    }
};

} // namespace monsoonlift::gate
