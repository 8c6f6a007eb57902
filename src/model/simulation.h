/// A small deterministic simulation of one chain of services in virtual time. It calls the policy functions
/// in the way that the entry and the gate do, in order to test these functions; it does not simulate a fleet.
#pragma once

#include "model/types/model_result.h"
#include "model/types/rules.h"
#include "model/types/scenario.h"

#include <cstdint>

namespace monsoonlift::model {

/// Simulates a scenario; the same arguments give the same result.
[[nodiscard]] model_result simulate(const scenario& simulated, const rule_set& rules, std::uint64_t seed);

} // namespace monsoonlift::model
