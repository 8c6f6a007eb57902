/// Settings of one daemon process, read once from its YAML file.
#pragma once

#include "settings/types/settings_error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::settings {

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
    std::string admin_token;         ///< Demanded by every administrative change.
    std::vector<std::string> seed_peers; ///< Membership addresses to join by when the platform is out.
    std::string log_level = "info";
    std::size_t log_lines_per_second = 200; ///< Beyond it lines are counted and summed up.
    std::string decisions = "on";           ///< "off" makes the daemon a pass-through, for comparison.
    std::size_t workers = 2;
    std::size_t body_chunk_bytes = 64 * 1024;
    std::size_t body_credit_chunks = 8;
    std::chrono::milliseconds default_patience{5000};
    std::chrono::milliseconds gone_object_patience{300'000}; ///< Then a gone daemon's object is removed.
};

/// Reads and checks a settings text whole: either the settings, or every error in it.
[[nodiscard]] std::variant<daemon_settings, std::vector<settings_error>>
parse_daemon_settings(const std::string& yaml_text);

} // namespace monsoonlift::settings
