/// HTTP conventions between a gate and a backend server of the users' platform.
#pragma once

#include "gate/backend_protocol.h"

namespace monsoonlift::platform {

/// Requests carry the id of the expected backend server and the time left; answers echo the request id.
/// Requests are registered in `running` while they run.
[[nodiscard]] gate::backend_protocol make_backend_protocol(std::shared_ptr<gate::running_requests> running);

} // namespace monsoonlift::platform
