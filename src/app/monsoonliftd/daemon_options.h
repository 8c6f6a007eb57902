/// What the parts of a daemon are told of its settings.
#pragma once

#include "configuration/types/follower_state.h"
#include "entry/entry_service.h"
#include "gate/gate_service.h"
#include "gate/running_requests.h"
#include "logging/event_log.h"
#include "settings/daemon_settings.h"
#include "store/budgeted_object_api.h"
#include "store/object_api.h"
#include "transport/tcp_transport.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <memory>

namespace monsoonlift::app {

/// How long the backend server may be silent before it counts as gone.
[[nodiscard]] std::chrono::milliseconds backend_silence_of(const settings::daemon_settings& chosen);

/// How long a gate that drains still takes what entries send that don't know of it yet.
[[nodiscard]] std::chrono::milliseconds drain_grace_of(const settings::daemon_settings& chosen);

/// `running` is told which requests run, for nested calls that name theirs.
[[nodiscard]] gate::gate_options gate_options_of(const settings::daemon_settings& chosen,
                                                 const std::shared_ptr<gate::running_requests>& running);

/// `running` tells which requests nested calls belong to.
[[nodiscard]] entry::entry_options entry_options_of(const settings::daemon_settings& chosen,
                                                    const std::shared_ptr<gate::running_requests>& running);

/// A follower that has a change in force within the deployment's bound, whatever one failure costs.
[[nodiscard]] configuration::follower_rule follower_rule_of(const settings::daemon_settings& chosen);

/// Pauses that are short against the deployment's bounds.
[[nodiscard]] store::call_limits store_limits_of(const settings::daemon_settings& chosen);

/// The client of the store: the platform's, or that of this project's own object API.
[[nodiscard]] std::unique_ptr<store::object_api>
make_store_client(const settings::daemon_settings& chosen, const boost::asio::any_io_executor& control,
                  logging::event_log& log);

[[nodiscard]] transport::transport_addresses transport_addresses_of(const settings::daemon_settings& chosen);

} // namespace monsoonlift::app
