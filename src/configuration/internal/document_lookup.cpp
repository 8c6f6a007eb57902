#include <algorithm>

#include "configuration/types/document.h"

namespace monsoonlift::configuration {

const service_rule* find_service(const document& configuration, std::string_view name) {
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
                                    [name](const service_rule& service) { return service.name == name; });
    return found == configuration.services.end() ? nullptr : &*found;
}

const route_rule* find_route(const document& configuration, std::string_view host, std::string_view path) {
    const route_rule* best = nullptr;
    for (const auto& route : configuration.routes) {
        const bool longer = best == nullptr || route.path_prefix.size() > best->path_prefix.size();
        if (longer && route.host == host && path.starts_with(route.path_prefix)) {
            best = &route;
        }
    }
    return best;
}

const route_destination* pick_destination(const route_rule& route, double point) {
    double total = 0;
    for (const auto& destination : route.destinations) {
        total += destination.weight;
    }
    const route_destination* picked = nullptr;
    double passed = 0;
    for (const auto& destination : route.destinations) {
        if (destination.weight == 0 || (picked != nullptr && passed > point * total)) {
            continue;
        }
        picked = &destination;
        passed += destination.weight;
    }
    return picked;
}

const call_rule* find_call(const service_rule& service, std::string_view method, std::string_view path) {
    const call_rule* best = nullptr;
    for (const auto& call : service.calls) {
        if (call.method != method || !path.starts_with(call.path_prefix)) {
            continue;
        }
        if (best == nullptr || call.path_prefix.size() > best->path_prefix.size()) {
            best = &call;
        }
    }
    return best;
}

} // namespace monsoonlift::configuration
