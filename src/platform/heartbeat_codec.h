/// What a backend server of the platform says of itself to the daemon beside it.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::platform {

/// A heartbeat, or a deregistration, that could be read.
struct heartbeat {
    std::string id; ///< From the path; mostly another one for each start of the backend server.
    std::string service;
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds cold_for{0}; ///< `ColdRemainingMs`: how much longer it is slow after its start.
    std::uint64_t sequence = 0;            ///< Rises with each heartbeat of one life.
    std::uint64_t started_ms = 0;          ///< `born`: Unix time of its start; 0 if it doesn't say.
};

/// Why a heartbeat can't be used, in plain words.
struct heartbeat_fault {
    std::string reason;
};

/// Reads the heartbeat of the backend server `id`.
[[nodiscard]] std::variant<heartbeat, heartbeat_fault> decode_heartbeat(std::string_view id,
                                                                        std::string_view body);

/// A deregistration that could be read.
struct deregistration {
    std::string id;               ///< From the path.
    std::uint64_t started_ms = 0; ///< `born`: Unix time of the start; 0 if it doesn't say, as most don't.
};

/// Reads the deregistration of the backend server `id`; its body may be anything.
[[nodiscard]] std::variant<deregistration, heartbeat_fault> decode_deregistration(std::string_view id,
                                                                                  std::string_view body);

} // namespace monsoonlift::platform
