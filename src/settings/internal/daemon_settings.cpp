#include "settings/daemon_settings.h"

#include <boost/asio/ip/address.hpp>

#include "core/network_address.h"
#include "settings/yaml_reader.h"

#include <algorithm>

namespace monsoonlift::settings {

namespace {

using namespace std::chrono_literals;

const std::vector<std::string> known_keys{"fleet",
                                          "name",
                                          "data_centre",
                                          "caller_address",
                                          "admin_address",
                                          "transport_address",
                                          "advertised_transport_address",
                                          "transport_source_ip",
                                          "membership_address",
                                          "platform_address",
                                          "admin_token",
                                          "seed_peers",
                                          "log_level",
                                          "log_lines_per_second",
                                          "decisions",
                                          "chain_admission",
                                          "workers",
                                          "body_chunk_bytes",
                                          "body_credit_chunks",
                                          "default_patience",
                                          "gone_object_patience",
                                          "retry_burst",
                                          "deployment"};

constexpr auto address_rule = "an address such as 10.0.0.1:7000";
constexpr auto reachable_rule = "an address with a port other than 0, such as 10.0.0.1:7000";
constexpr auto fleet_rule = "1 to 32 of a-z, 0-9, \"-\" and \"_\"";
constexpr auto ip_rule = "an ip address such as 10.0.0.1";

bool is_ip(const std::string& text) {
    boost::system::error_code fault;
    boost::asio::ip::make_address(text, fault);
    return !fault;
}

bool is_address(const std::string& text) {
    return core::parse_network_address(text).has_value();
}

std::string read_address(yaml_reader& reader, std::string_view key) {
    std::string text = reader.required_string(key);
    if (!text.empty() && !is_address(text)) {
        reader.report(key, "\"" + text + "\"", address_rule);
    }
    return text;
}

std::string read_fleet(yaml_reader& reader) {
    constexpr std::size_t longest = 32;
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyz0123456789-_";
    std::string text = reader.required_string("fleet");
    if (text.size() > longest || text.find_first_not_of(allowed) != std::string::npos) {
        reader.report("fleet", "\"" + text + "\"", fleet_rule);
    }
    return text;
}

bool is_reachable(const std::string& text) {
    const auto address = core::parse_network_address(text);
    return address && address->port != 0;
}

void read_transport(yaml_reader& reader, daemon_settings& settings) {
    settings.transport_address = read_address(reader, "transport_address");
    settings.advertised_transport_address = reader.optional_string("advertised_transport_address", "");
    const std::string& advertised = settings.advertised_transport_address;
    if (!advertised.empty() && !is_reachable(advertised)) {
        reader.report("advertised_transport_address", "\"" + advertised + "\"", reachable_rule);
    }
    settings.transport_source_ip = reader.optional_string("transport_source_ip", "");
    const std::string& source = settings.transport_source_ip;
    if (!source.empty() && !is_ip(source)) {
        reader.report("transport_source_ip", "\"" + source + "\"", ip_rule);
    }
}

void read_addresses(yaml_reader& reader, daemon_settings& settings) {
    settings.caller_address = read_address(reader, "caller_address");
    settings.admin_address = read_address(reader, "admin_address");
    read_transport(reader, settings);
    settings.membership_address = read_address(reader, "membership_address");
    settings.platform_address = read_address(reader, "platform_address");
    settings.seed_peers = reader.string_list("seed_peers");
    for (const auto& peer : settings.seed_peers) {
        if (!peer.empty() && !is_address(peer)) {
            reader.report("seed_peers", "\"" + peer + "\"", address_rule);
        }
    }
}

void read_limits(yaml_reader& reader, daemon_settings& settings) {
    constexpr std::uint64_t most_workers = 64;
    constexpr std::uint64_t most_log_lines = 100'000;
    constexpr std::uint64_t least_chunk_bytes = 1024;
    constexpr std::uint64_t most_chunk_bytes = 1024 * 1024;
    constexpr std::uint64_t most_credit_chunks = 64;
    constexpr std::uint64_t most_retry_burst = 1000;
    settings.log_lines_per_second =
        reader.whole_number("log_lines_per_second", 1, most_log_lines, settings.log_lines_per_second);
    settings.workers = reader.whole_number("workers", 1, most_workers, settings.workers);
    settings.body_chunk_bytes = reader.whole_number("body_chunk_bytes", least_chunk_bytes, most_chunk_bytes,
                                                    settings.body_chunk_bytes);
    settings.body_credit_chunks =
        reader.whole_number("body_credit_chunks", 1, most_credit_chunks, settings.body_credit_chunks);
    settings.retry_burst = reader.whole_number("retry_burst", 0, most_retry_burst, settings.retry_burst);
    settings.default_patience = reader.duration("default_patience", 1ms, 10min, settings.default_patience);
    settings.gone_object_patience =
        reader.duration("gone_object_patience", 1s, 24h, settings.gone_object_patience);
}

/// A bound of the deployment. The deployment sets it, so one outside of what the daemon can keep must not
/// stop the daemon from starting: it keeps the nearest one that it can.
std::chrono::milliseconds read_bound(yaml_reader& reader, std::string_view key,
                                     std::chrono::milliseconds fallback) {
    constexpr std::chrono::milliseconds shortest_kept = 100ms;
    constexpr std::chrono::milliseconds longest_kept = 10min;
    return std::clamp(reader.duration(key, 0ms, 24h, fallback), shortest_kept, longest_kept);
}

std::optional<deployment_settings> read_deployment(yaml_reader& root) {
    auto reader = root.map("deployment");
    if (!reader) {
        return std::nullopt;
    }
    reader->refuse_unknown_keys({"service", "backend_address", "heartbeat_address", "ready_address",
                                 "configuration_bound", "drain_bound", "stop_bound", "revocation_bound"});
    deployment_settings deployment;
    deployment.service = reader->required_string("service");
    deployment.backend_address = read_address(*reader, "backend_address");
    deployment.heartbeat_address = read_address(*reader, "heartbeat_address");
    deployment.ready_address = read_address(*reader, "ready_address");
    deployment.configuration_bound =
        read_bound(*reader, "configuration_bound", deployment.configuration_bound);
    deployment.drain_bound = read_bound(*reader, "drain_bound", deployment.drain_bound);
    deployment.stop_bound = read_bound(*reader, "stop_bound", deployment.stop_bound);
    if (reader->has("revocation_bound")) {
        deployment.revocation_bound = read_bound(*reader, "revocation_bound", deployment.revocation_bound);
    }
    return deployment;
}

daemon_settings read_settings(yaml_reader& reader) {
    daemon_settings settings;
    reader.refuse_unknown_keys(known_keys);
    settings.fleet = read_fleet(reader);
    settings.name = reader.required_string("name");
    settings.data_centre = reader.required_string("data_centre");
    settings.log_level = reader.one_of("log_level", {"info", "warning", "error"}, settings.log_level);
    settings.decisions = reader.one_of("decisions", {"on", "off"}, settings.decisions);
    settings.chain_admission = reader.one_of("chain_admission", {"on", "off"}, settings.chain_admission);
    read_addresses(reader, settings);
    read_limits(reader, settings);
    settings.deployment = read_deployment(reader);
    // NOTE: on the users' platform nobody administers a daemon, so the token is optional there, and without
    // one every administrative change is refused.
    settings.admin_token = settings.deployment ? reader.optional_string("admin_token", "")
                                               : reader.required_string("admin_token");
    return settings;
}

} // namespace

settings_outcome parse_daemon_settings(const std::string& yaml_text) {
    std::vector<settings_error> errors;
    const auto root = load_map(yaml_text, "(document)", errors);
    if (!root) {
        return errors;
    }
    yaml_reader reader(*root, "", errors);
    daemon_settings settings = read_settings(reader);
    if (!errors.empty()) {
        return errors;
    }
    return settings;
}

} // namespace monsoonlift::settings
