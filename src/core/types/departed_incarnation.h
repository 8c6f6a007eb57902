#pragma once

#include <cstdint>
#include <string>

namespace monsoonlift::core {

/// An incarnation of a backend server that has deregistered.
struct departed_incarnation {
    std::string id;               ///< Name of the instance; the next incarnation may reuse it.
    std::uint64_t started_ms = 0; ///< Unix time of its start in milliseconds; 0 if unknown.
    /// Unix time of the deregistration in milliseconds, by the clock of the daemon that received it.
    std::uint64_t received_ms = 0;

    bool operator==(const departed_incarnation&) const = default;
};

} // namespace monsoonlift::core
