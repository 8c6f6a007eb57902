/// HTTP conventions between callers of the users' platform and an entry.
#pragma once

#include "entry/caller_protocol.h"

#include "gate/running_requests.h"

#include <memory>
#include <string>

namespace monsoonlift::platform {

/// Requests are routed by host and path. `local_service` is the service on this VM, which is sent as the
/// calling service of every call. Calls made by a request in `running` are its nested calls.
[[nodiscard]] entry::caller_protocol
make_caller_protocol(std::string local_service, std::shared_ptr<const gate::running_requests> running);

} // namespace monsoonlift::platform
