/// Derives the options of the daemon's components from its settings.
#pragma once

#include "configuration/freshness_holder.h"
#include "configuration/types/follower_state.h"
#include "entry/entry_service.h"
#include "gate/gate_service.h"
#include "gate/running_requests.h"
#include "logging/event_log.h"
#include "settings/daemon_settings.h"
#include "store/budgeted_object_api.h"
#include "store/object_api.h"
#include "store/service_address.h"
#include "transport/tcp_transport.h"

#include <boost/asio/any_io_executor.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace monsoonlift::app {

/// How long the backend server may send no heartbeat before it counts as gone.
[[nodiscard]] std::chrono::milliseconds backend_silence_of(const settings::daemon_settings& chosen);

/// How long a draining gate still accepts requests from entries that haven't learned yet that it drains.
[[nodiscard]] std::chrono::milliseconds drain_grace_of(const settings::daemon_settings& chosen);

/// `running` records the requests that run on the backend server, so that nested calls find their parent by
/// name.
[[nodiscard]] gate::gate_options gate_options_of(const settings::daemon_settings& chosen,
                                                 const std::shared_ptr<gate::running_requests>& running);

/// `running` is used to find the running request that a nested call belongs to, `quota` for the limits of
/// accounts; `proofs` may be null.
[[nodiscard]] entry::entry_options
entry_options_of(const settings::daemon_settings& chosen,
                 const std::shared_ptr<gate::running_requests>& running,
                 std::shared_ptr<quota::token_source> quota,
                 const std::shared_ptr<configuration::freshness_holder>& proofs);

/// Makes the holder of proofs that the configuration is recent; null if the deployment doesn't bound their
/// age.
[[nodiscard]] std::shared_ptr<configuration::freshness_holder>
make_proofs(const settings::daemon_settings& chosen);

/// Timing rule by which a configuration change is in force within the deployment's bound despite any single
/// failure.
[[nodiscard]] configuration::follower_rule follower_rule_of(const settings::daemon_settings& chosen);

/// Limits for calls to the store; their pauses during an outage are short compared with the deployment's
/// bounds.
[[nodiscard]] store::call_limits store_limits_of(const settings::daemon_settings& chosen);

/// Called with the era of the platform's store, before the answer that shows it is used.
struct era_hooks {
    std::function<void(std::uint64_t era)> on_first;    ///< For the first era seen.
    std::function<void(std::uint64_t era)> on_restored; ///< For each later one: the store was restored.
};

/// Creates the client of the store: of the platform's store in a deployment on the users' platform, otherwise
/// of this project's own object API, which has no eras. The hooks are called on `control`.
[[nodiscard]] std::unique_ptr<store::object_api>
make_store_client(const settings::daemon_settings& chosen,
                  std::shared_ptr<const store::service_address> platform,
                  const boost::asio::any_io_executor& control, logging::event_log& log, era_hooks hooks);

[[nodiscard]] transport::transport_options transport_options_of(const settings::daemon_settings& chosen);

} // namespace monsoonlift::app
