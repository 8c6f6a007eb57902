#include "configuration/internal/route_reader.h"

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "configuration/internal/service_reader.h"

namespace monsoonlift::configuration::internal {

namespace {

using namespace std::chrono_literals;
using settings::yaml_reader;

const std::vector<std::string> route_keys{
    "name",     "host",   "path",        "class", "idempotent", "timeout", "latency_objective",
    "attempts", "public", "destinations"};

std::vector<route_destination> read_destinations(yaml_reader& route, const document_limits& limits) {
    std::vector<route_destination> destinations;
    std::uint64_t total = 0;
    for (auto& reader : route.map_list("destinations")) {
        reader.refuse_unknown_keys({"service", "weight"});
        route_destination destination;
        destination.service = read_name(reader, "service", limits);
        destination.weight = static_cast<std::uint32_t>(reader.whole_number("weight", 0, max_weight, 1));
        total += destination.weight;
        destinations.push_back(std::move(destination));
    }
    if (total == 0) {
        route.report("destinations", std::to_string(destinations.size()) + " destinations of weight 0",
                     "at least one destination with a weight above 0");
    }
    return destinations;
}

route_rule read_route(yaml_reader& reader, const std::vector<std::string>& classes,
                      const document_limits& limits) {
    reader.refuse_unknown_keys(route_keys);
    route_rule route;
    route.name = read_name(reader, "name", limits);
    route.host = reader.required_string("host");
    route.path_prefix = read_path(reader, limits);
    route.class_name = read_listed(reader, "class", classes);
    route.rank = rank_of(classes, route.class_name);
    route.idempotent = reader.boolean("idempotent", std::nullopt);
    route.timeout = reader.duration("timeout", 1ms, max_route_time, route.timeout);
    route.latency_objective =
        reader.duration("latency_objective", 1ms, max_route_time, route.latency_objective);
    route.attempts =
        static_cast<std::uint32_t>(reader.whole_number("attempts", 1, max_route_attempts, route.attempts));
    route.is_public = reader.boolean("public", false);
    route.destinations = read_destinations(reader, limits);
    return route;
}

} // namespace

std::vector<route_rule> read_routes(yaml_reader& root, const std::vector<std::string>& classes,
                                    const document_limits& limits) {
    std::vector<route_rule> routes;
    std::set<std::pair<std::string, std::string>> targets;
    for (auto& reader : root.map_list("routes")) {
        auto route = read_route(reader, classes, limits);
        if (!targets.emplace(route.host, route.path_prefix).second) {
            reader.report("path", "\"" + route.host + route.path_prefix + "\"",
                          "a host and path that no other route has");
        }
        routes.push_back(std::move(route));
    }
    if (routes.size() > limits.routes) {
        root.report("routes", std::to_string(routes.size()) + " routes",
                    "at most " + std::to_string(limits.routes) + " routes");
    }
    return routes;
}

void check_destinations(yaml_reader& root, const std::vector<route_rule>& routes,
                        const std::vector<service_rule>& services) {
    std::set<std::string> known;
    for (const auto& service : services) {
        known.insert(service.name);
    }
    for (const auto& route : routes) {
        for (const auto& destination : route.destinations) {
            if (!destination.service.empty() && !known.contains(destination.service)) {
                root.report("routes", "\"" + route.name + "\" leads to \"" + destination.service + "\"",
                            "services of this document");
            }
        }
    }
}

} // namespace monsoonlift::configuration::internal
