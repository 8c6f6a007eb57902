/// Shedding thresholds of the services that the runs of each kind of call lead to. A daemon learns them from
/// the nested calls that its backend server makes, so that its gate can refuse a call before it runs if a
/// service further down would refuse one of its nested calls.
#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "routing/chain_levels.h"

#include <string>
#include <unordered_map>

namespace monsoonlift::routing {

/// Thresholds learned from calls to one service.
struct called_service {
    encountered_level own;   ///< Median threshold of its gates.
    encountered_level below; ///< Strictest threshold of the services that its runs call.
};

/// Thresholds by called service, and the services that the runs of each kind of call lead to. Bounded by the
/// services and routes of the configuration.
struct downstream_levels {
    std::unordered_map<std::string, called_service> services;
    /// When a run of the kind last called the service.
    std::unordered_map<std::string, std::unordered_map<std::string, core::steady_time>> by_kind;
};

/// Records that a run of this kind calls a service whose gates have this median threshold.
void record_called(downstream_levels& levels, const std::string& kind, const std::string& service,
                   const admission::shed_level& own, core::steady_time now);

/// Records the threshold that a gate of a service reports for the services below it.
void record_below(downstream_levels& levels, const std::string& service, const admission::shed_level& below,
                  core::steady_time now);

/// Returns the strictest fresh threshold of the services that runs of this kind lead to; the one that admits
/// everything if there is none.
[[nodiscard]] admission::shed_level downstream_level(const downstream_levels& levels, const std::string& kind,
                                                     core::steady_time now);

} // namespace monsoonlift::routing
