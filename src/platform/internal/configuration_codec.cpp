#include "platform/configuration_codec.h"

#include "accounts/account_table.h"
#include "configuration/limits.h"
#include "configuration/stored_configuration_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace monsoonlift::platform {

namespace json = boost::json;

namespace {

constexpr std::int64_t document_format = 1;
constexpr int hexadecimal = 16;

/// Retries that one daemon allows per first attempt: half of what the platform allows the whole fleet, since
/// a retried request may make nested calls when it runs.
constexpr double retry_ratio = 0.1;

/// Retries that one root call may use, counted over all its nested calls.
constexpr std::int64_t attempts_per_root = 4;

/// Thrown and caught only in this file, when a field is missing or has the wrong type.
struct bad_field {
    std::string reason;
};

const json::object& map_at(const json::value& value, const std::string& where) {
    const auto* map = value.if_object();
    if (map == nullptr) {
        throw bad_field{where + " is not a map"};
    }
    return *map;
}

const json::value& field(const json::object& map, const char* name, const std::string& where) {
    const auto* value = map.if_contains(name);
    if (value == nullptr) {
        throw bad_field{where + " has no " + name};
    }
    return *value;
}

std::string text_field(const json::object& map, const char* name, const std::string& where) {
    const auto& value = field(map, name, where);
    if (!value.is_string()) {
        throw bad_field{where + ": " + name + " is not a string"};
    }
    return std::string(value.get_string());
}

double decimal_field(const json::object& map, const char* name, const std::string& where) {
    const auto& value = field(map, name, where);
    boost::system::error_code fault;
    const auto number = value.is_number() ? value.to_number<double>(fault) : -1.0;
    if (fault || number < 0 || number > 1e12) {
        throw bad_field{where + ": " + name + " is not a number of 0 or more"};
    }
    return number;
}

/// Rounds up, so that a fraction of one does not become zero.
std::int64_t number_field(const json::object& map, const char* name, const std::string& where) {
    return static_cast<std::int64_t>(std::ceil(decimal_field(map, name, where)));
}

double optional_decimal(const json::object& map, const char* name, const std::string& where) {
    const auto* value = map.if_contains(name);
    return value == nullptr || value->is_null() ? 0 : decimal_field(map, name, where);
}

std::int64_t optional_number(const json::object& map, const char* name, const std::string& where) {
    const auto* value = map.if_contains(name);
    return value == nullptr || value->is_null() ? 0 : number_field(map, name, where);
}

const json::array& list_field(const json::object& map, const char* name, const std::string& where) {
    const auto* list = field(map, name, where).if_array();
    if (list == nullptr) {
        throw bad_field{where + ": " + name + " is not a list"};
    }
    return *list;
}

/// A duration, cut to the longest that the document may contain there.
std::string duration_text(std::int64_t milliseconds, std::chrono::milliseconds longest) {
    return std::to_string(std::min(milliseconds, static_cast<std::int64_t>(longest.count()))) + "ms";
}

/// Returns whole weights in the proportions of `weights`, none above the highest that the document may
/// contain.
std::vector<std::int64_t> whole_weights(const std::vector<double>& weights) {
    constexpr auto highest = static_cast<double>(configuration::max_weight);
    const bool are_whole = std::all_of(weights.begin(), weights.end(), [](double weight) {
        return weight <= highest && std::floor(weight) == weight;
    });
    const auto largest = *std::max_element(weights.begin(), weights.end());
    const auto scale = are_whole ? 1.0 : highest / largest;
    std::vector<std::int64_t> whole;
    for (const auto weight : weights) {
        whole.push_back(static_cast<std::int64_t>(std::ceil(weight * scale)));
    }
    return whole;
}

std::string class_of(std::int64_t priority) {
    const auto most = static_cast<std::int64_t>(configuration::max_classes) - 1;
    return "priority-" + std::to_string(std::min(priority, most));
}

json::array destinations_of(const json::object& action, const std::string& where) {
    json::array destinations;
    const auto* split = action.if_contains("TrafficSplit");
    if (split == nullptr || !split->is_array() || split->get_array().empty()) {
        destinations.push_back(json::object{{"service", text_field(action, "Service", where)}});
        return destinations;
    }
    std::vector<std::string> services;
    std::vector<double> weights;
    for (const auto& part : split->get_array()) {
        const auto& share = map_at(part, where + ": TrafficSplit");
        services.push_back(text_field(share, "Service", where));
        weights.push_back(decimal_field(share, "Weight", where));
    }
    const auto whole = whole_weights(weights);
    for (std::size_t index = 0; index < services.size(); ++index) {
        destinations.push_back(json::object{{"service", services[index]}, {"weight", whole[index]}});
    }
    return destinations;
}

/// Unknown kinds count as not idempotent: such requests are never run twice.
bool is_idempotent(const std::string& kind) {
    return kind == "safe" || kind == "download";
}

json::object route_of(const json::object& rule, const std::string& host) {
    const auto name = text_field(rule, "Name", "a rule of " + host);
    const auto where = "route " + name;
    const auto& match = map_at(field(rule, "Match", where), where + ": Match");
    const auto& action = map_at(field(rule, "Action", where), where + ": Action");
    json::object route{{"name", name},
                       {"host", host},
                       {"path", text_field(match, "PathPrefix", where)},
                       {"class", class_of(optional_number(rule, "Priority", where))},
                       {"idempotent", is_idempotent(text_field(rule, "Kind", where))},
                       {"destinations", destinations_of(action, where)}};
    const auto timeout = optional_number(action, "TimeoutMs", where);
    if (timeout > 0) {
        route["timeout"] = duration_text(timeout, configuration::max_route_time);
    }
    const auto objective = optional_number(rule, "TargetLatencyMs", where);
    if (objective > 0) {
        route["latency_objective"] = duration_text(objective, configuration::max_route_time);
    }
    if (const auto* open = rule.if_contains("Public"); open != nullptr && open->is_bool()) {
        route["public"] = open->get_bool();
    }
    const auto attempts = optional_number(action, "MaxAttempts", where);
    if (attempts > 0) {
        route["attempts"] = std::min(attempts, static_cast<std::int64_t>(configuration::max_route_attempts));
    }
    return route;
}

json::array routes_of(const json::object& content) {
    json::array routes;
    for (const auto& each : list_field(content, "Listeners", "the configuration")) {
        const auto& listener = map_at(each, "a listener");
        const auto host = text_field(listener, "Host", "a listener");
        for (const auto& rule : list_field(listener, "Rules", host)) {
            routes.push_back(route_of(map_at(rule, "a rule of " + host), host));
        }
    }
    return routes;
}

json::array services_of(const json::object& content) {
    json::array services;
    for (const auto& each : list_field(content, "Clusters", "the configuration")) {
        const auto& cluster = map_at(each, "a cluster");
        const auto name = text_field(cluster, "Name", "a cluster");
        const auto connections =
            std::clamp<std::int64_t>(optional_number(cluster, "MaxConnections", name), 1,
                                     static_cast<std::int64_t>(configuration::max_connections));
        // NOTE: `endpoints` and `slots` are placeholders; the backend servers report the real numbers.
        services.push_back(
            json::object{{"name", name}, {"endpoints", 1}, {"slots", 1}, {"connections", connections}});
    }
    return services;
}

json::object account_of(const json::object& tenant) {
    const auto name = text_field(tenant, "Name", "a tenant");
    if (name.empty()) {
        throw bad_field{"a tenant has an empty Name"};
    }
    const auto where = "tenant " + name;
    json::array digests;
    std::size_t not_strings = 0;
    for (const auto& key : list_field(tenant, "ApiKeys", where)) {
        if (key.is_string()) {
            digests.emplace_back(accounts::to_string(accounts::digest_of(key.get_string())));
        } else {
            ++not_strings;
        }
    }
    json::object account{{"name", name}, {"key_digests", std::move(digests)}};
    if (not_strings > 0) {
        account["left_out"] = where + ": " + std::to_string(not_strings) + " keys that are not strings";
    }
    if (const auto* priority = tenant.if_contains("Priority"); priority != nullptr && !priority->is_null()) {
        account["class"] = class_of(number_field(tenant, "Priority", where));
    }
    account["rate_per_second"] =
        std::min(optional_decimal(tenant, "RatePerS", where), configuration::max_account_rate);
    account["burst"] = std::min(optional_decimal(tenant, "Burst", where), configuration::max_account_rate);
    return account;
}

/// The accounts, or nothing if callers need no key. One that can't be read is left out, so that the callers
/// of the others are served.
std::optional<json::array> accounts_of(const json::object& content) {
    const auto* tenants = content.if_contains("Tenants");
    if (tenants == nullptr || tenants->is_null()) {
        return std::nullopt;
    }
    json::array accounts;
    for (const auto& tenant : list_field(content, "Tenants", "the configuration")) {
        try {
            accounts.push_back(account_of(map_at(tenant, "a tenant")));
        } catch (const bad_field& fault) {
            // NOTE: the reader of accepted documents reports an entry that only says what was left out.
            accounts.push_back(json::object{{"left_out", fault.reason}});
        }
    }
    return accounts;
}

std::uint64_t revision_of(const json::object& content) {
    const auto text = text_field(content, "Version", "the configuration");
    std::uint64_t revision = 0;
    const auto [end, fault] = std::from_chars(text.data(), text.data() + text.size(), revision, hexadecimal);
    if (fault != std::errc() || end != text.data() + text.size() || revision == 0) {
        throw bad_field{"the version \"" + text + "\" is not a hexadecimal number above 0"};
    }
    return revision;
}

json::array class_names() {
    json::array names;
    for (std::size_t priority = 0; priority < configuration::max_classes; ++priority) {
        names.emplace_back(class_of(static_cast<std::int64_t>(priority)));
    }
    return names;
}

/// The longest time between two requests of a connection; 0 if the operator limits none.
std::int64_t idle_time_of(const json::object& content) {
    const auto* limits = content.if_contains("Limits");
    return limits == nullptr || limits->is_null()
               ? 0
               : optional_number(map_at(*limits, "Limits"), "IdleTimeoutMs", "Limits");
}

configuration::stored_configuration translate(const json::object& content) {
    configuration::stored_configuration stored;
    stored.revision = revision_of(content);
    stored.submission = "operator";
    json::object document{
        {"format", document_format},
        {"data_centres", json::array{"any"}},
        {"classes", class_names()},
        {"retries", json::object{{"attempts_per_root", attempts_per_root}, {"ratio", retry_ratio}}},
        {"services", services_of(content)},
        {"routes", routes_of(content)}};
    if (auto accounts = accounts_of(content)) {
        document["accounts"] = std::move(*accounts);
    }
    const auto idle_time = idle_time_of(content);
    if (idle_time > 0) {
        document["caller_idle_time"] = duration_text(idle_time, configuration::max_caller_idle_time);
    }
    // NOTE: JSON is a subset of YAML, so the document reader accepts it.
    stored.document = json::serialize(document);
    stored.digest = configuration::digest_of(stored);
    return stored;
}

} // namespace

std::variant<configuration::stored_configuration, configuration_fault>
decode_configuration(const json::value& content) {
    try {
        return translate(map_at(content, "the configuration"));
    } catch (const bad_field& fault) {
        return configuration_fault{fault.reason};
    }
}

} // namespace monsoonlift::platform
