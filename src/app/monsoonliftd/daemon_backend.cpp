// The part of daemon that handles announcements, withdrawals and deregistrations of the local backend server.
#include "app/monsoonliftd/daemon.h"

#include "admin/announcement.h"
#include "app/monsoonliftd/daemon_options.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <memory>
#include <utility>

namespace monsoonlift::app {

namespace {

using namespace std::chrono_literals;

/// Shorter than the second that backend servers wait for an answer.
constexpr std::chrono::milliseconds acknowledgement_patience = 800ms;

constexpr auto withdrawal_not_recorded =
    "the platform does not hold the withdrawal yet, so it may be forgotten; repeat it\n";

std::string text_of(const gate::announcement_position& mark) {
    return mark.id + "/" + std::to_string(mark.started_ms) + "/" + std::to_string(mark.sequence);
}

std::string text_of(const core::departed_incarnation& leaving) {
    return leaving.id + "/" + std::to_string(leaving.started_ms);
}

std::string text_of(const std::optional<gate::announcement_position>& known) {
    return known ? text_of(*known) : "none";
}

std::string text_of(const std::vector<core::departed_incarnation>& departed) {
    std::string text;
    for (const auto& leaving : departed) {
        text += (text.empty() ? "" : " ") + text_of(leaving);
    }
    return text.empty() ? "none" : text;
}

gate::announcement_position mark_of(const platform::heartbeat& received) {
    return {received.id, received.started_ms, received.sequence};
}

std::uint64_t unix_ms(core::wall_time time) {
    const auto since_epoch = time.time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

} // namespace

void daemon::announce(const admin::admin_request& request, const admin::admin_reply& reply) {
    const auto parsed = admin::parse_announcement(request.body);
    if (const auto* wrong = std::get_if<admin::announcement_error>(&parsed)) {
        reply({400, "text/plain", wrong->detail + "\n"});
        return;
    }
    boost::asio::post(m_control, [this, server = std::get<gate::backend_server>(parsed), reply] {
        take_announcement(server);
        reply({200, "application/json", "{}"});
    });
}

void daemon::take_announcement(const gate::backend_server& server) {
    if (server.instance.empty()) {
        serve_backend(server);
        return;
    }
    // NOTE: these announcements have no sequence number, so they are numbered in the order of their arrival.
    take_ready({server.instance, 0, ++m_announcements}, server);
}

void daemon::serve_backend(const gate::backend_server& server) {
    const bool is_accepted = m_gate.announce(server);
    if (is_accepted) {
        m_membership->announce(server.service);
        serve_homes();
    }
}

void daemon::serve_homes() {
    const auto server = m_gate.backend();
    // NOTE: callers on the users' platform have no idempotency keys of their own, so no homes are needed.
    if (server && !m_settings.deployment && has_non_idempotent_calls(server->service)) {
        m_homes->serve(server->service);
    }
}

void daemon::withdraw(const admin::admin_request& request, const admin::admin_reply& reply) {
    const auto parsed = admin::parse_announcement(request.body);
    const auto* server = std::get_if<gate::backend_server>(&parsed);
    const auto instance = server != nullptr ? server->instance : std::string();
    boost::asio::post(m_control, [this, instance, reply] { take_withdrawal(instance, reply); });
}

void daemon::take_withdrawal(const std::string& instance, const admin::admin_reply& reply) {
    const admin::admin_response done{200, "application/json", "{}"};
    // NOTE: a request without a body or an instance name withdraws the incarnation that announced itself
    // last.
    const auto known = m_backend_incarnations.newest ? m_backend_incarnations.newest->id : std::string();
    const auto& leaving = instance.empty() ? known : instance;
    if (leaving.empty()) {
        begin_withdrawal({});
        reply(done);
        return;
    }
    deregister_backend(
        {leaving, 0, unix_ms(m_clock.wall_now())}, "withdrawn", [reply, done](bool is_recorded) {
            reply(is_recorded ? done : admin::admin_response{503, "text/plain", withdrawal_not_recorded});
        });
}

void daemon::begin_withdrawal(const std::string& instance) {
    const bool leaves = m_gate.leave(instance, m_clock.now() + drain_grace_of(*m_current.get()));
    if (leaves) {
        m_membership->withdraw();
    }
}

platform::local_server_hooks daemon::local_hooks() {
    platform::local_server_hooks hooks;
    hooks.is_ready = [this] {
        return m_phase == lifecycle::phase::serving;
    };
    hooks.local_backend = [this] {
        const auto deployment = m_current.get()->deployment;
        return platform::backend_identity{deployment->service, deployment->backend_address};
    };
    hooks.heard = [this](const platform::heartbeat& received, const platform::acknowledgement& acknowledge) {
        boost::asio::post(m_control,
                          [this, received, acknowledge] { take_heartbeat(received, acknowledge); });
    };
    hooks.deregistered = [this](const platform::deregistration& received,
                                const platform::acknowledgement& acknowledge) {
        boost::asio::post(m_control,
                          [this, received, acknowledge] { take_deregistration(received, acknowledge); });
    };
    return hooks;
}

void daemon::take_heartbeat(const platform::heartbeat& received,
                            const platform::acknowledgement& acknowledge) {
    if (received.draining) {
        take_draining(received, acknowledge);
        return;
    }
    take_ready(mark_of(received), server_of(received));
    acknowledge(true);
}

void daemon::take_ready(const gate::announcement_position& mark, const gate::backend_server& server) {
    const auto before = m_backend_incarnations;
    const auto effect = gate::on_ready_heartbeat(m_backend_incarnations, mark, m_clock.now());
    log_heartbeat_effect(before, mark, effect);
    if (effect == gate::announcement_effect::late) {
        return;
    }
    if (effect == gate::announcement_effect::opens) {
        m_membership->forget_deregistrations();
    }
    m_last_ready = server;
    if (m_backend_incarnations.serves) {
        serve_backend(server);
    }
}

void daemon::take_draining(const platform::heartbeat& received,
                           const platform::acknowledgement& acknowledge) {
    const auto before = m_backend_incarnations;
    const auto effect =
        gate::on_draining_heartbeat(m_backend_incarnations, mark_of(received), unix_ms(m_clock.wall_now()));
    log_heartbeat_effect(before, mark_of(received), effect);
    if (effect == gate::announcement_effect::leaves) {
        stop_serving_backend({received.id, received.started_ms}, "draining");
    }
    if (gate::has_left(m_backend_incarnations.departed, mark_of(received))) {
        acknowledge_deregistration(acknowledge);
        return;
    }
    // NOTE: the backend server would rely on an acknowledgement of a leaving that has no effect here.
    acknowledge(false);
}

void daemon::log_heartbeat_effect(const gate::backend_incarnations& before,
                                  const gate::announcement_position& mark, gate::announcement_effect effect) {
    const bool is_late = effect == gate::announcement_effect::late;
    const bool is_new =
        effect == gate::announcement_effect::opens || effect == gate::announcement_effect::waits;
    if (is_late || is_new) {
        const auto event =
            is_late ? logging::event_id::heartbeat_late : logging::event_id::backend_life_heard;
        m_log.write(event, {{"heartbeat", text_of(mark)},
                            {"newest", text_of(before.newest)},
                            {"left", text_of(before.departed)},
                            {"serves", m_backend_incarnations.serves ? "yes" : "no"}});
    }
}

gate::backend_server daemon::server_of(const platform::heartbeat& received) const {
    const auto rules = m_configuration.current();
    const auto* service = rules ? configuration::find_service(*rules, received.service) : nullptr;
    gate::backend_server server;
    server.service = received.service;
    server.address = m_current.get()->deployment->backend_address;
    server.slots = received.slots;
    server.connections = service != nullptr ? service->connections : received.slots;
    server.instance = received.id + "/" + std::to_string(received.started_ms);
    server.id = received.id;
    server.cold_for = received.cold_for;
    return server;
}

void daemon::take_deregistration(const platform::deregistration& received,
                                 const platform::acknowledgement& acknowledge) {
    deregister_backend({received.id, received.started_ms, unix_ms(m_clock.wall_now())}, "deregistered",
                       acknowledge);
}

void daemon::deregister_backend(const core::departed_incarnation& leaving, const char* how,
                                const platform::acknowledgement& acknowledge) {
    const auto effect = gate::on_deregistration(m_backend_incarnations, leaving);
    if (effect == gate::announcement_effect::late) {
        log_deregistration(leaving, how, "not of the newest incarnation: recorded");
    }
    if (effect == gate::announcement_effect::leaves) {
        stop_serving_backend(leaving, how);
    }
    acknowledge_deregistration(acknowledge);
}

void daemon::take_recorded_deregistrations(const std::vector<core::departed_incarnation>& past) {
    const auto effect = gate::add_earlier_deregistrations(m_backend_incarnations, past);
    m_log.write(logging::event_id::past_farewell_known, {{"left", text_of(past)}});
    if (effect == gate::announcement_effect::leaves) {
        stop_serving_backend({m_backend_incarnations.newest->id, m_backend_incarnations.newest->started_ms},
                             "reported to an earlier process");
    }
    if (effect == gate::announcement_effect::opens && m_last_ready) {
        m_membership->forget_deregistrations();
        serve_backend(*m_last_ready);
    }
}

void daemon::acknowledge_deregistration(const platform::acknowledgement& acknowledge) {
    auto pending = std::make_shared<platform::acknowledgement>(acknowledge);
    const auto answer = [this, pending, left = text_of(m_backend_incarnations.departed)](bool is_recorded) {
        const auto reply = std::exchange(*pending, nullptr);
        if (!reply) {
            return;
        }
        const auto event =
            is_recorded ? logging::event_id::farewell_acknowledged : logging::event_id::farewell_not_recorded;
        m_log.write(event, {{"left", left}});
        reply(is_recorded);
    };
    m_membership->record_deregistrations(m_backend_incarnations.departed, [this, answer] {
        boost::asio::post(m_control, [answer] { answer(true); });
    });
    m_scheduler.after(acknowledgement_patience, [answer] { answer(false); });
}

void daemon::log_deregistration(const core::departed_incarnation& leaving, const char* how,
                                const char* outcome) {
    m_log.write(logging::event_id::backend_leaving, {{"life", text_of(leaving)},
                                                     {"how", how},
                                                     {"newest", text_of(m_backend_incarnations.newest)},
                                                     {"outcome", outcome}});
}

void daemon::stop_serving_backend(const core::departed_incarnation& leaving, const char* how) {
    log_deregistration(leaving, how, "its service is withdrawn");
    begin_withdrawal(m_settings.deployment ? std::string() : leaving.id);
}

} // namespace monsoonlift::app
