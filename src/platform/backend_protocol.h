/// How a gate talks to a backend server of the users' platform.
#pragma once

#include "gate/backend_protocol.h"

namespace monsoonlift::platform {

/// Requests name the backend server that is meant and the time left; answers carry the request's id. Requests
/// are noted in `running` while they run.
[[nodiscard]] gate::backend_protocol make_backend_protocol(std::shared_ptr<gate::running_requests> running);

} // namespace monsoonlift::platform
