#include "routing/downstream_levels.h"

namespace monsoonlift::routing {

namespace {

constexpr std::chrono::seconds level_lifetime{1};

/// A kind of call whose runs have not called a service for this long is taken to no longer lead there.
constexpr std::chrono::seconds link_lifetime{10};

void make_stricter(admission::shed_level& strictest, const encountered_level& met, core::steady_time now) {
    if (now - met.when <= level_lifetime && admission::is_stricter(met.level, strictest)) {
        strictest = met.level;
    }
}

} // namespace

void record_called(downstream_levels& levels, const std::string& kind, const std::string& service,
                   const admission::shed_level& own, core::steady_time now) {
    levels.by_kind[kind][service] = now;
    levels.services[service].own = {own, now};
}

void record_below(downstream_levels& levels, const std::string& service, const admission::shed_level& below,
                  core::steady_time now) {
    levels.services[service].below = {below, now};
}

admission::shed_level downstream_level(const downstream_levels& levels, const std::string& kind,
                                       core::steady_time now) {
    admission::shed_level strictest;
    const auto found = levels.by_kind.find(kind);
    if (found == levels.by_kind.end()) {
        return strictest;
    }
    for (const auto& [service, last_called] : found->second) {
        const auto called = levels.services.find(service);
        if (now - last_called <= link_lifetime && called != levels.services.end()) {
            make_stricter(strictest, called->second.own, now);
            make_stricter(strictest, called->second.below, now);
        }
    }
    return strictest;
}

} // namespace monsoonlift::routing
