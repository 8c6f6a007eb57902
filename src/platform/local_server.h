/// HTTP server for the platform's calls to a daemon: heartbeats of its backend server, readiness checks.
#pragma once

#include "admin/admin_server.h"
#include "core/clock.h"
#include "logging/event_log.h"
#include "platform/heartbeat_codec.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <string>

namespace monsoonlift::platform {

/// Answers a heartbeat or a deregistration; call it once, from any thread. If `is_recorded` is false, the
/// backend server is asked to send it again, since it would be lost if this process ended.
using acknowledgement = std::function<void(bool is_recorded)>;

/// Callbacks from a local server to its owner; they may be called on any thread.
struct local_server_hooks {
    std::function<bool()> is_ready;
    std::function<backend_identity()> local_backend; ///< Heartbeats of any other sender are refused.
    std::function<void(const heartbeat&, acknowledgement)> heard; ///< Called for each valid heartbeat.
    std::function<void(const deregistration&, acknowledgement)> deregistered;
};

/// Serves the heartbeat address and the ready address of the settings.
class local_server {
public:
    /// Binds both addresses; throws boost::system::system_error if one can't be bound.
    local_server(boost::asio::io_context& io, const std::string& heartbeat_address,
                 const std::string& ready_address, local_server_hooks hooks, const core::clock& clock,
                 logging::event_log& log);

    /// Begins to accept connections.
    void start();

private:
    void take_heartbeat(const admin::admin_request& request, const admin::admin_reply& reply);
    void take_deregistration(const admin::admin_request& request, const admin::admin_reply& reply);
    void refuse(const std::string& id, const heartbeat_fault& fault, const admin::admin_reply& reply);
    [[nodiscard]] admin::admin_response ready() const;

    local_server_hooks m_hooks;
    logging::event_log& m_log;
    admin::admin_server m_heartbeats;
    admin::admin_server m_ready;
};

} // namespace monsoonlift::platform
