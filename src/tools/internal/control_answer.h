#pragma once

#include "tools/backend_state.h"
#include "tools/internal/backend_request.h"

namespace monsoonlift::tools::internal {

/// Answers a request about the stand-in itself: its counts, its health, its faults. `request` has its body in
/// `echo`.
[[nodiscard]] short_answer control_answer(backend_state& state, const received_request& request);

} // namespace monsoonlift::tools::internal
