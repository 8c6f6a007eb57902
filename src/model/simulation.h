/// A small deterministic model of one chain of services, in virtual time, that exercises the policies as the
/// entry and the gate do. It is a bench for those functions, not a simulator of a fleet.
#pragma once

#include "model/types/model_result.h"
#include "model/types/rules.h"
#include "model/types/scenario.h"

#include <cstdint>

namespace monsoonlift::model {

/// Plays a scenario; the same arguments give the same result.
[[nodiscard]] model_result play(const scenario& played, const rule_set& rules, std::uint64_t seed);

} // namespace monsoonlift::model
