/// Handles calls of the object API; independent of sockets.
#pragma once

#include "app/platform_standin/standin_state.h"
#include "app/platform_standin/types/handling.h"
#include "store/http_target.h"

namespace monsoonlift::platform_standin {

/// Handles one call.
[[nodiscard]] handling handle(standin_state& state, const standin_request& request);

/// Adds the injected delay to an answer.
[[nodiscard]] handling apply_faults(standin_state& state, standin_reply reply);

/// Adds the injected delay to the answer of a write, and decides at random whether the answer is lost.
[[nodiscard]] handling apply_write_faults(standin_state& state, standin_reply reply);

/// Checks a pending watch for changes; with `expired`, it is answered even if there are none. In an outage it
/// is refused or left without an answer.
[[nodiscard]] handling resume(standin_state& state, const pending_watch& watch, bool expired);

} // namespace monsoonlift::platform_standin
