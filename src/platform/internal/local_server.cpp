#include "platform/local_server.h"

#include "platform/types/wire_names.h"

#include <utility>
#include <variant>

namespace monsoonlift::platform {

using admin::access;
using admin::admin_reply;
using admin::admin_request;
using admin::admin_response;

namespace {

acknowledgement acknowledge_by(const admin_reply& reply) {
    return [reply](bool is_recorded) {
        reply(is_recorded
                  ? admin_response{200, "application/json", "{}"}
                  : admin_response{503, "text/plain", "this could not be recorded yet; say it again\n"});
    };
}

} // namespace

local_server::local_server(boost::asio::io_context& io, const std::string& heartbeat_address,
                           const std::string& ready_address, local_server_hooks hooks,
                           const core::clock& clock, logging::event_log& log)
    : m_hooks(std::move(hooks)), m_log(log), m_heartbeats(io, heartbeat_address, "", clock, log),
      m_ready(io, ready_address, "", clock, log) {
    m_heartbeats.route_deferred(
        "POST", std::string(wire::heartbeat_path), access::open,
        [this](const admin_request& request, const admin_reply& reply) { take_heartbeat(request, reply); });
    m_heartbeats.route_deferred("POST", std::string(wire::deregister_path), access::open,
                                [this](const admin_request& request, const admin_reply& reply) {
                                    take_deregistration(request, reply);
                                });
    m_ready.route("GET", std::string(wire::ready_path), access::open,
                  [this](const admin_request&) { return ready(); });
}

void local_server::start() {
    m_heartbeats.start();
    m_ready.start();
}

void local_server::take_heartbeat(const admin_request& request, const admin_reply& reply) {
    const auto id = request.path.substr(wire::heartbeat_path.size());
    const auto decoded = decode_heartbeat(id, request.body);
    if (const auto* fault = std::get_if<heartbeat_fault>(&decoded)) {
        refuse(id, *fault, reply);
        return;
    }
    const auto& received = std::get<heartbeat>(decoded);
    if (const auto fault = sender_fault(received, m_hooks.local_backend())) {
        refuse(id, *fault, reply);
        return;
    }
    m_hooks.heard(received, acknowledge_by(reply));
}

void local_server::take_deregistration(const admin_request& request, const admin_reply& reply) {
    const auto id = request.path.substr(wire::deregister_path.size());
    const auto decoded = decode_deregistration(id, request.body);
    if (const auto* fault = std::get_if<heartbeat_fault>(&decoded)) {
        refuse(id, *fault, reply);
        return;
    }
    m_hooks.deregistered(std::get<deregistration>(decoded), acknowledge_by(reply));
}

void local_server::refuse(const std::string& id, const heartbeat_fault& fault, const admin_reply& reply) {
    m_log.write(logging::event_id::heartbeat_refused, {{"id", id}, {"reason", fault.reason}});
    reply({400, "text/plain", fault.reason + "\n"});
}

admin_response local_server::ready() const {
    return m_hooks.is_ready() ? admin_response{200, "text/plain", "ready\n"}
                              : admin_response{503, "text/plain", "not ready\n"};
}

} // namespace monsoonlift::platform
