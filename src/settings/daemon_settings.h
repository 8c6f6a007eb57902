/// Settings of one daemon process, read once from its YAML file.
#pragma once

#include "settings/types/settings_error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::settings {

/// What a daemon is told of the users' platform that it runs on.
struct deployment_settings {
    std::string service;           ///< Of the backend server on this VM.
    std::string backend_address;   ///< HTTP of the backend server.
    std::string heartbeat_address; ///< HTTP for the backend server's heartbeats.
    std::string ready_address;     ///< HTTP for the platform's question whether callers may come.
    std::chrono::milliseconds configuration_bound{2000}; ///< A change is in force everywhere within this.
    std::chrono::milliseconds drain_bound{2000}; ///< A leaving backend server gets nothing new after this.
    std::chrono::milliseconds stop_bound{6000};  ///< From the signal to stop to the end of the process.

    bool operator==(const deployment_settings&) const = default;
};

/// Settings of monsoonliftd. Addresses are "ip:port"; port 0 lets the system choose.
struct daemon_settings {
    std::string fleet; ///< Daemons of other fleets are not listened to.
    std::string name;  ///< Unique name of the VM's slot, for people.
    std::string data_centre;
    std::string caller_address;               ///< HTTP for callers.
    std::string admin_address;                ///< HTTP for health, metrics, announcements and administration.
    std::string transport_address;            ///< TCP, between daemons.
    std::string advertised_transport_address; ///< Where peers reach the transport; empty for the one above.
    std::string transport_source_ip; ///< Where connections to peers come from; empty lets the system choose.
    std::string membership_address;  ///< UDP, between daemons.
    std::string platform_address;    ///< HTTP of the object API.
    std::string admin_token;         ///< Demanded by every administrative change; empty refuses all of them.
    std::vector<std::string> seed_peers; ///< Membership addresses to join by when the platform is out.
    std::string log_level = "info";
    std::size_t log_lines_per_second = 200; ///< Beyond it lines are counted and summed up.
    std::string decisions = "on";           ///< "off" makes the daemon a pass-through, for comparison.
    std::size_t workers = 2;
    std::size_t body_chunk_bytes = 64 * 1024;
    std::size_t body_credit_chunks = 8;
    std::chrono::milliseconds default_patience{5000};
    std::chrono::milliseconds gone_object_patience{300'000}; ///< Then a gone daemon's object is removed.
    std::size_t retry_burst = 10; ///< Retries that a daemon may send at once, beyond its ratio.
    std::optional<deployment_settings> deployment; ///< Absent where the daemon speaks its own protocols.

    bool operator==(const daemon_settings&) const = default;
};

/// Settings, or every error in their text.
using settings_outcome = std::variant<daemon_settings, std::vector<settings_error>>;

/// Reads and checks a settings text whole: either the settings, or every error in it.
[[nodiscard]] settings_outcome parse_daemon_settings(const std::string& yaml_text);

} // namespace monsoonlift::settings
