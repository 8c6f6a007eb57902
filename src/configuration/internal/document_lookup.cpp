#include <algorithm>

#include "configuration/types/document.h"

namespace monsoonlift::configuration {

const service_rule* find_service(const document& configuration, std::string_view name) {
    const auto found = std::find_if(configuration.services.begin(), configuration.services.end(),
                                    [name](const service_rule& service) { return service.name == name; });
    return found == configuration.services.end() ? nullptr : &*found;
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
