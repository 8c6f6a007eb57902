#include "configuration/internal/service_reader.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

namespace monsoonlift::configuration::internal {

namespace {

using namespace std::chrono_literals;
using settings::yaml_reader;

constexpr std::uint64_t max_endpoints = 100'000;
constexpr std::uint64_t max_slots = 100'000;
constexpr std::size_t max_calls = 500;

const std::vector<std::string> service_keys{"name",        "endpoints",  "slots",
                                            "connections", "drain_time", "calls"};
const std::vector<std::string> call_keys{"name", "method", "path", "class", "idempotent", "patience"};
const std::vector<std::string> methods{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"};

std::string quoted(const std::string& text) {
    return "\"" + text + "\"";
}

std::string joined(const std::vector<std::string>& words) {
    std::string text;
    for (const auto& word : words) {
        text += (text.empty() ? "" : ", ") + word;
    }
    return text;
}

} // namespace

std::string read_listed(yaml_reader& reader, std::string_view key, const std::vector<std::string>& allowed) {
    auto text = reader.required_string(key);
    if (!text.empty() && std::find(allowed.begin(), allowed.end(), text) == allowed.end()) {
        reader.report(key, quoted(text), "one of " + joined(allowed));
    }
    return text;
}

namespace {

bool is_path(const std::string& path, const document_limits& limits) {
    const auto plain = [](char byte) {
        return byte > ' ' && byte < '\x7f' && byte != '?' && byte != '#';
    };
    const bool is_plain = !limits.plain_text || std::all_of(path.begin(), path.end(), plain);
    return path.starts_with('/') && is_plain;
}

} // namespace

std::string read_path(yaml_reader& reader, const document_limits& limits) {
    auto path = reader.required_string("path");
    if (!path.empty() && !is_path(path, limits)) {
        reader.report("path", quoted(path), "a path prefix that begins with \"/\", without query or spaces");
    }
    return path;
}

core::class_rank rank_of(const std::vector<std::string>& classes, const std::string& name) {
    const auto found = std::find(classes.begin(), classes.end(), name);
    return found == classes.end() ? core::class_rank{0}
                                  : static_cast<core::class_rank>(found - classes.begin());
}

namespace {

call_rule read_call(yaml_reader& reader, const std::vector<std::string>& classes,
                    const document_limits& limits) {
    reader.refuse_unknown_keys(call_keys);
    call_rule call;
    call.name = read_name(reader, "name", limits);
    call.method = read_listed(reader, "method", methods);
    call.path_prefix = read_path(reader, limits);
    call.class_name = read_listed(reader, "class", classes);
    call.rank = rank_of(classes, call.class_name);
    call.idempotent = reader.boolean("idempotent", std::nullopt);
    call.patience = reader.duration("patience", 1ms, 10min, 5s);
    return call;
}

std::vector<call_rule> read_calls(yaml_reader& service, const std::vector<std::string>& classes,
                                  const document_limits& limits, bool has_routes) {
    std::vector<call_rule> calls;
    std::set<std::string> names;
    std::set<std::pair<std::string, std::string>> targets;
    for (auto& reader : service.map_list("calls")) {
        auto call = read_call(reader, classes, limits);
        if (!names.insert(call.name).second) {
            reader.report("name", quoted(call.name), "a name that no other call of the service has");
        }
        if (!targets.emplace(call.method, call.path_prefix).second) {
            reader.report("path", quoted(call.method + " " + call.path_prefix),
                          "a method and path that no other call of the service has");
        }
        calls.push_back(std::move(call));
    }
    if ((calls.empty() && !has_routes) || calls.size() > max_calls) {
        service.report("calls", std::to_string(calls.size()) + " calls",
                       "1 to " + std::to_string(max_calls) + " calls");
    }
    return calls;
}

service_rule read_service(yaml_reader& reader, const std::vector<std::string>& classes,
                          const document_limits& limits, bool has_routes) {
    reader.refuse_unknown_keys(service_keys);
    service_rule service;
    service.name = read_name(reader, "name", limits);
    service.endpoints =
        static_cast<std::uint32_t>(reader.whole_number("endpoints", 1, max_endpoints, std::nullopt));
    service.slots = static_cast<std::uint32_t>(reader.whole_number("slots", 1, max_slots, std::nullopt));
    service.connections =
        static_cast<std::uint32_t>(reader.whole_number("connections", 1, max_connections, std::nullopt));
    if (service.connections < service.slots) {
        reader.report("connections", std::to_string(service.connections),
                      "at least the " + std::to_string(service.slots) + " slots");
    }
    service.drain_time = reader.duration("drain_time", 1s, 1h, service.drain_time);
    service.calls = read_calls(reader, classes, limits, has_routes);
    return service;
}

} // namespace

bool is_name(std::string_view text, const document_limits& limits) {
    const auto allowed = [](char byte) {
        const bool letter = (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z');
        const bool digit = byte >= '0' && byte <= '9';
        return letter || digit || byte == '-' || byte == '_';
    };
    const bool is_plain = !limits.plain_text || std::all_of(text.begin(), text.end(), allowed);
    return !text.empty() && text.size() <= limits.name_length && is_plain;
}

std::string read_name(yaml_reader& reader, std::string_view key, const document_limits& limits) {
    auto name = reader.required_string(key);
    if (!name.empty() && !is_name(name, limits)) {
        reader.report(key, quoted(name), name_rule);
    }
    return name;
}

std::vector<service_rule> read_services(yaml_reader& root, const std::vector<std::string>& classes,
                                        const document_limits& limits) {
    const bool has_routes = root.has("routes");
    std::vector<service_rule> services;
    std::set<std::string> names;
    for (auto& reader : root.map_list("services")) {
        auto service = read_service(reader, classes, limits, has_routes);
        if (!names.insert(service.name).second) {
            reader.report("name", quoted(service.name), "a name that no other service has");
        }
        services.push_back(std::move(service));
    }
    if (services.size() < limits.fewest_services || services.size() > limits.services) {
        root.report("services", std::to_string(services.size()) + " services",
                    "1 to " + std::to_string(limits.services) + " services");
    }
    return services;
}

} // namespace monsoonlift::configuration::internal
