#pragma once

#include "tools/backend_state.h"
#include "tools/internal/backend_request.h"

namespace monsoonlift::tools::internal {

/// Answers a request to the stand-in itself: for its counts, load or health, or to set its faults. The body
/// must be in `request.echo`.
[[nodiscard]] simple_answer control_answer(backend_state& state, const received_request& request);

} // namespace monsoonlift::tools::internal
