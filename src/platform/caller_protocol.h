/// How callers of the users' platform talk to an entry.
#pragma once

#include "entry/caller_protocol.h"

#include "gate/running_requests.h"

#include <memory>
#include <string>

namespace monsoonlift::platform {

/// Requests name a host and a path; `local_service` is the service of the VM, which calls that begin here
/// are told to come from. Calls that a request of `running` makes are nested calls of it.
[[nodiscard]] entry::caller_protocol
make_caller_protocol(std::string local_service, std::shared_ptr<const gate::running_requests> running);

} // namespace monsoonlift::platform
