/// Invariants checked in every exploration; the first violation is recorded.
#pragma once

#include "execution/tests/protocol_environment.h"

namespace monsoonlift::execution::testing {

/// Records that a request is sent to its backend server. Violations: the key ran before, this copy was
/// answered not_run, or the deadline has passed.
void record_run(protocol_environment& environment, const accepted_attempt& running);

/// Records the verdict that a caller receives. Violation: not_run although the key had run. `had_run` says
/// whether the key had run when the gate decided.
void record_verdict(protocol_environment& environment, std::size_t copy, core::verdict verdict, bool had_run);

} // namespace monsoonlift::execution::testing
