/// Shedding thresholds that root calls of each kind encountered along their call chains. Handles a service
/// deep in the chain that is overloaded while those in front of it are not: refusing a root call at the entry
/// costs nothing, while refusing its last nested call wastes all the work done before.
#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace monsoonlift::routing {

/// The strictest threshold that a root call encountered along its chain.
struct encountered_level {
    admission::shed_level level;
    core::steady_time when;
};

/// The most recently encountered thresholds for each kind of call, oldest first.
struct chain_levels {
    std::unordered_map<std::string, std::deque<encountered_level>> by_kind;
};

/// Records the strictest threshold that a root call of that kind encountered; the default level means that no
/// call was refused.
void record_chain(chain_levels& levels, const std::string& kind, const admission::shed_level& met,
                  core::steady_time now);

/// Which recorded thresholds count.
struct chain_level_rule {
    std::size_t fewest = 4; ///< Fewer thresholds are not representative.
    std::size_t newest = 31;
};

/// For thresholds that gates report for all services below them, whether or not the call met them.
inline constexpr chain_level_rule reported_levels{1, 3};

/// Returns the median of the thresholds recorded recently for that kind, ordered by strictness; the threshold
/// that admits everything if there are too few of them.
[[nodiscard]] admission::shed_level chain_level(const chain_levels& levels, const std::string& kind,
                                                core::steady_time now, const chain_level_rule& rule = {});

/// Returns whether a root call is likely to pass at every hop. A small share of all roots is admitted at any
/// level, so that the end of an overload is detected.
[[nodiscard]] bool chain_admits(const admission::shed_level& level, const core::call_context& context);

} // namespace monsoonlift::routing
