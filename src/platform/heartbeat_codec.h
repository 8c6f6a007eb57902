/// Heartbeats and deregistrations that a backend server of the platform sends to its local daemon.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace monsoonlift::platform {

/// A decoded heartbeat.
struct heartbeat {
    std::string id; ///< From the path; usually a new one for each start of the backend server.
    std::string service;
    std::string address; ///< "ip:port" at which the sender takes requests.
    std::uint32_t slots = 1;
    bool draining = false;
    std::chrono::milliseconds cold_for{0}; ///< `ColdRemainingMs`: remaining time of its slow start phase.
    std::uint64_t sequence = 0;            ///< Increases with each heartbeat of one incarnation.
    std::uint64_t started_ms = 0;          ///< `born`: Unix time of its start in ms; 0 if absent.
};

/// Human-readable reason why a heartbeat or a deregistration can't be used.
struct heartbeat_fault {
    std::string reason;
};

/// The backend server of this VM, as the settings name it.
struct backend_identity {
    std::string service;
    std::string address; ///< "ip:port"
};

/// Decodes the heartbeat of the backend server `id`. Refuses one that lacks a field or has one of another
/// type; only `born` may be absent.
[[nodiscard]] std::variant<heartbeat, heartbeat_fault> decode_heartbeat(std::string_view id,
                                                                        std::string_view body);

/// Returns why a heartbeat can't come from the backend server of this VM; nothing if it can.
[[nodiscard]] std::optional<heartbeat_fault> sender_fault(const heartbeat& received,
                                                          const backend_identity& expected);

/// A decoded deregistration.
struct deregistration {
    std::string id;               ///< From the path.
    std::uint64_t started_ms = 0; ///< `born`: Unix time of the start in ms; 0 if absent, as in most.
};

/// Decodes the deregistration of the backend server `id`; a malformed body counts as one without `born`.
[[nodiscard]] std::variant<deregistration, heartbeat_fault> decode_deregistration(std::string_view id,
                                                                                  std::string_view body);

} // namespace monsoonlift::platform
