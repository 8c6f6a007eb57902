/// What root calls of each kind met further down their chains. Answers a deep service that is overloaded
/// while those in front of it are not: refusing a root call at the door costs nothing, refusing its last
/// nested call costs all the work before.
#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_map>

namespace monsoonlift::routing {

/// The strictest threshold that one root call met.
struct met_level {
    admission::shed_level level;
    core::steady_time when;
};

/// The latest of each kind of call, oldest first.
struct chain_levels {
    std::unordered_map<std::string, std::deque<met_level>> by_kind;
};

/// Notes what a root call of that kind met; the default level says that nothing was refused.
void record_chain(chain_levels& levels, const std::string& kind, const admission::shed_level& met,
                  core::steady_time now);

/// The threshold that half of the latest root calls of that kind met or exceed; everything passes while there
/// are few.
[[nodiscard]] admission::shed_level chain_level(const chain_levels& levels, const std::string& kind,
                                                core::steady_time now);

/// Whether a root call is likely to pass at every hop. A small share of all roots is let through whatever the
/// level, so that the end of an overload is noticed.
[[nodiscard]] bool chain_admits(const admission::shed_level& level, const core::call_context& context);

} // namespace monsoonlift::routing
