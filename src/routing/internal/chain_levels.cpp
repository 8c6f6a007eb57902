#include "routing/chain_levels.h"

#include "admission/shedding.h"

#include <utility>
#include <vector>

namespace monsoonlift::routing {

namespace {

constexpr std::chrono::milliseconds level_lifetime{1000};
constexpr std::size_t max_recorded = 31;

/// Number of root buckets that pass at any level, about one root call in twenty.
constexpr std::uint32_t always_admitted = admission::root_buckets / 20;

} // namespace

void record_chain(chain_levels& levels, const std::string& kind, const admission::shed_level& met,
                  core::steady_time now) {
    auto& latest = levels.by_kind[kind];
    latest.push_back({met, now});
    while (latest.size() > max_recorded || now - latest.front().when > level_lifetime) {
        latest.pop_front();
    }
}

admission::shed_level chain_level(const chain_levels& levels, const std::string& kind, core::steady_time now,
                                  const chain_level_rule& rule) {
    const auto found = levels.by_kind.find(kind);
    if (found == levels.by_kind.end()) {
        return {};
    }
    std::vector<admission::shed_level> fresh;
    for (auto met = found->second.rbegin(); met != found->second.rend() && fresh.size() < rule.newest;
         ++met) {
        if (now - met->when <= level_lifetime) {
            fresh.push_back(met->level);
        }
    }
    if (fresh.size() < rule.fewest) {
        return {};
    }
    return admission::median_level(std::move(fresh));
}

bool chain_admits(const admission::shed_level& level, const core::call_context& context) {
    return admission::root_position(context) < always_admitted || admission::admits_nested(level, context);
}

} // namespace monsoonlift::routing
