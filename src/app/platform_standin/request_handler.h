/// The object API's rules, apart from the sockets.
#pragma once

#include "app/platform_standin/standin_state.h"
#include "app/platform_standin/types/handling.h"
#include "store/http_target.h"

namespace monsoonlift::platform_standin {

/// Carries out one call.
[[nodiscard]] handling handle(standin_state& state, const standin_request& request);

/// The answer as the faults let it go.
[[nodiscard]] handling spoil(standin_state& state, standin_reply reply);

/// As above, for a write: its answer may be lost.
[[nodiscard]] handling spoil_write(standin_state& state, standin_reply reply);

/// Looks again at a watch that waited; `expired` ends it with an empty result.
[[nodiscard]] handling resume(standin_state& state, const pending_watch& watch, bool expired);

} // namespace monsoonlift::platform_standin
