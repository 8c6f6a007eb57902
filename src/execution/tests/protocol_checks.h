/// What must hold in every exploration; the first violation is kept.
#pragma once

#include "execution/tests/protocol_world.h"

namespace monsoonlift::execution::testing {

/// A request is sent to its backend server: the first run of its key, in time, of a copy not told otherwise.
void record_run(protocol_world& world, const ticket& running);

/// A caller is given a verdict: not_run only of what didn't run. `had_run` says whether the key had run when
/// the gate decided.
void record_told(protocol_world& world, std::size_t copy, core::verdict verdict, bool had_run);

} // namespace monsoonlift::execution::testing
