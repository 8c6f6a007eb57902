/// Settings of one daemon process, read from its YAML file when it starts.
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

/// Settings of a daemon that runs on the users' platform and uses its protocols.
struct deployment_settings {
    std::string service;           ///< Service of the backend server on this VM.
    std::string backend_address;   ///< HTTP address of the backend server.
    std::string heartbeat_address; ///< HTTP address that receives the backend server's heartbeats.
    std::string ready_address; ///< HTTP address of the readiness check, which the platform calls before it
                               ///< sends callers.
    /// Maximum time until a configuration change is in force in every daemon.
    std::chrono::milliseconds configuration_bound{2000};
    std::chrono::milliseconds drain_bound{2000}; ///< After it a leaving backend server gets no requests.
    std::chrono::milliseconds stop_bound{6000};  ///< Maximum time from the stop signal to the process end.
    /// Time from the acceptance of a configuration that removes an API key until no daemon accepts the key,
    /// whether it learned of the change or not; 0 if only daemons that can learn of it need to comply.
    std::chrono::milliseconds revocation_bound{0};

    bool operator==(const deployment_settings&) const = default;
};

/// Settings of monsoonliftd. Addresses are "ip:port"; with port 0 the operating system chooses the port.
struct daemon_settings {
    std::string fleet; ///< Messages from daemons of other fleets are ignored.
    std::string name;  ///< Unique name of the VM's position in the fleet, for operators.
    std::string data_centre;
    std::string caller_address;               ///< HTTP, requests of callers.
    std::string admin_address;                ///< HTTP, health, metrics, announcements and administration.
    std::string transport_address;            ///< TCP, between daemons.
    std::string advertised_transport_address; ///< Address at which peers reach transport_address; empty if
                                              ///< they are the same.
    std::string transport_source_ip; ///< Source IP of connections to peers; empty: the system's choice.
    std::string membership_address;  ///< UDP, between daemons.
    std::string platform_address;    ///< HTTP, the platform's object API.
    std::string admin_token; ///< Token that every administrative change must carry; empty refuses all.
    std::vector<std::string> seed_peers; ///< Membership addresses to join by if the platform is unavailable.
    std::string log_level = "info";
    std::size_t log_lines_per_second = 200; ///< Lines beyond this rate are dropped, counted and summarized.
    std::string decisions = "on";           ///< "off" makes the daemon a pass-through, for comparison.
    std::string chain_admission = "off";    ///< "on" admits a call chain as a whole or not at all.
    std::size_t workers = 2;
    std::size_t body_chunk_bytes = 64 * 1024;
    std::size_t body_credit_chunks = 8;
    /// Default time-out of calls for which neither the request nor the configuration sets one.
    std::chrono::milliseconds default_patience{5000};
    /// Time after which the platform object of a dead daemon is removed.
    std::chrono::milliseconds gone_object_patience{300'000};
    std::size_t retry_burst = 10; ///< Retries that a daemon may send in a burst, beyond its retry ratio.
    std::optional<deployment_settings> deployment; ///< Absent if the daemon uses its own protocols.

    bool operator==(const daemon_settings&) const = default;
};

/// The settings, or every error found in the text.
using settings_outcome = std::variant<daemon_settings, std::vector<settings_error>>;

/// Parses and validates a settings text. Returns the settings, or every error found in it.
[[nodiscard]] settings_outcome parse_daemon_settings(const std::string& yaml_text);

} // namespace monsoonlift::settings
