// The part of daemon that hears of the backend server beside it.
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

/// Backend servers wait a second for an answer.
constexpr std::chrono::milliseconds acknowledgement_patience = 800ms;

constexpr auto withdrawal_not_recorded =
    "the platform does not hold the withdrawal yet, so it may be forgotten; repeat it\n";

std::string text_of(const gate::announcement_mark& mark) {
    return mark.id + "/" + std::to_string(mark.started_ms) + "/" + std::to_string(mark.sequence);
}

std::string text_of(const core::departed_life& life) {
    return life.id + "/" + std::to_string(life.started_ms);
}

std::string text_of(const std::optional<gate::announcement_mark>& known) {
    return known ? text_of(*known) : "none";
}

std::string text_of(const std::vector<core::departed_life>& lives) {
    std::string text;
    for (const auto& life : lives) {
        text += (text.empty() ? "" : " ") + text_of(life);
    }
    return text.empty() ? "none" : text;
}

gate::announcement_mark mark_of(const platform::heartbeat& told) {
    return {told.id, told.started_ms, told.sequence};
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
    // NOTE: these announcements bear no number of their own, so they count in the order of their arrival.
    take_ready({server.instance, 0, ++m_announcements}, server);
}

void daemon::serve_backend(const gate::backend_server& server) {
    const bool is_taken = m_gate.announce(server);
    if (is_taken) {
        m_membership->announce(server.service);
        serve_homes();
    }
}

void daemon::serve_homes() {
    const auto server = m_gate.backend();
    // NOTE: callers of the platform have no keys of their own, so there is nothing to keep a home for.
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
    // NOTE: who names no start of itself, or sends no body, means the one that is known.
    const auto known = m_lives.newest ? m_lives.newest->id : std::string();
    const auto& leaving = instance.empty() ? known : instance;
    if (leaving.empty()) {
        begin_withdrawal({});
        reply(done);
        return;
    }
    take_farewell({leaving, 0, unix_ms(m_clock.wall_now())}, "withdrawn", [reply, done](bool is_kept) {
        reply(is_kept ? done : admin::admin_response{503, "text/plain", withdrawal_not_recorded});
    });
}

void daemon::begin_withdrawal(const std::string& instance) {
    const bool leaves = m_gate.leave(instance, m_clock.now() + drain_grace_of(m_settings));
    if (leaves) {
        m_membership->withdraw();
    }
}

platform::local_server_hooks daemon::local_hooks() {
    platform::local_server_hooks hooks;
    hooks.is_ready = [this] {
        return m_phase == lifecycle::phase::serving;
    };
    hooks.heard = [this](const platform::heartbeat& told, const platform::acknowledgement& acknowledge) {
        boost::asio::post(m_control, [this, told, acknowledge] { take_heartbeat(told, acknowledge); });
    };
    hooks.deregistered = [this](const platform::deregistration& told,
                                const platform::acknowledgement& acknowledge) {
        boost::asio::post(m_control, [this, told, acknowledge] { take_deregistration(told, acknowledge); });
    };
    return hooks;
}

void daemon::take_heartbeat(const platform::heartbeat& told, const platform::acknowledgement& acknowledge) {
    if (told.draining) {
        take_draining(told, acknowledge);
        return;
    }
    take_ready(mark_of(told), server_of(told));
    acknowledge(true);
}

void daemon::take_ready(const gate::announcement_mark& mark, const gate::backend_server& server) {
    const auto before = m_lives;
    const auto effect = gate::hear_ready(m_lives, mark, m_clock.now());
    note_heartbeat(before, mark, effect);
    if (effect == gate::announcement_effect::late) {
        return;
    }
    if (effect == gate::announcement_effect::opens) {
        m_membership->forget_farewells();
    }
    m_last_ready = server;
    if (m_lives.serves) {
        serve_backend(server);
    }
}

void daemon::take_draining(const platform::heartbeat& told, const platform::acknowledgement& acknowledge) {
    const auto before = m_lives;
    const auto effect = gate::hear_draining(m_lives, mark_of(told), unix_ms(m_clock.wall_now()));
    note_heartbeat(before, mark_of(told), effect);
    if (effect == gate::announcement_effect::leaves) {
        leave_backend({told.id, told.started_ms}, "draining");
    }
    if (gate::has_left(m_lives.departed, mark_of(told))) {
        acknowledge_leaving(acknowledge);
        return;
    }
    acknowledge(true);
}

void daemon::note_heartbeat(const gate::backend_lives& before, const gate::announcement_mark& mark,
                            gate::announcement_effect effect) {
    const bool is_late = effect == gate::announcement_effect::late;
    const bool is_new =
        effect == gate::announcement_effect::opens || effect == gate::announcement_effect::waits;
    if (is_late || is_new) {
        const auto event =
            is_late ? logging::event_id::heartbeat_late : logging::event_id::backend_life_heard;
        m_log.write(event, {{"heartbeat", text_of(mark)},
                            {"newest", text_of(before.newest)},
                            {"left", text_of(before.departed)},
                            {"serves", m_lives.serves ? "yes" : "no"}});
    }
}

gate::backend_server daemon::server_of(const platform::heartbeat& told) const {
    const auto rules = m_configuration.current();
    const auto* service = rules ? configuration::find_service(*rules, told.service) : nullptr;
    gate::backend_server server;
    server.service = told.service;
    server.address = m_settings.deployment->backend_address;
    server.slots = told.slots;
    server.connections = service != nullptr ? service->connections : told.slots;
    server.instance = told.id + "/" + std::to_string(told.started_ms);
    server.id = told.id;
    return server;
}

void daemon::take_deregistration(const platform::deregistration& told,
                                 const platform::acknowledgement& acknowledge) {
    take_farewell({told.id, told.started_ms, unix_ms(m_clock.wall_now())}, "deregistered", acknowledge);
}

void daemon::take_farewell(const core::departed_life& leaving, const char* how,
                           const platform::acknowledgement& acknowledge) {
    const auto effect = gate::hear_farewell(m_lives, leaving);
    if (effect == gate::announcement_effect::late) {
        note_farewell(leaving, how, "not of the newest start: remembered");
    }
    if (effect == gate::announcement_effect::leaves) {
        leave_backend(leaving, how);
    }
    acknowledge_leaving(acknowledge);
}

void daemon::take_past(const std::vector<core::departed_life>& past) {
    const auto effect = gate::learn_past(m_lives, past);
    m_log.write(logging::event_id::past_farewell_known, {{"left", text_of(past)}});
    if (effect == gate::announcement_effect::leaves) {
        leave_backend({m_lives.newest->id, m_lives.newest->started_ms}, "told to an earlier process");
    }
    if (effect == gate::announcement_effect::opens && m_last_ready) {
        m_membership->forget_farewells();
        serve_backend(*m_last_ready);
    }
}

void daemon::acknowledge_leaving(const platform::acknowledgement& acknowledge) {
    auto once = std::make_shared<platform::acknowledgement>(acknowledge);
    const auto answer = [this, once, left = text_of(m_lives.departed)](bool is_kept) {
        const auto waiting = std::exchange(*once, nullptr);
        if (!waiting) {
            return;
        }
        const auto event =
            is_kept ? logging::event_id::farewell_acknowledged : logging::event_id::farewell_not_recorded;
        m_log.write(event, {{"left", left}});
        waiting(is_kept);
    };
    m_membership->record_farewells(
        m_lives.departed, [this, answer] { boost::asio::post(m_control, [answer] { answer(true); }); });
    m_scheduler.after(acknowledgement_patience, [answer] { answer(false); });
}

void daemon::note_farewell(const core::departed_life& leaving, const char* how, const char* outcome) {
    m_log.write(logging::event_id::backend_leaving, {{"life", text_of(leaving)},
                                                     {"how", how},
                                                     {"newest", text_of(m_lives.newest)},
                                                     {"outcome", outcome}});
}

void daemon::leave_backend(const core::departed_life& leaving, const char* how) {
    note_farewell(leaving, how, "its service is withdrawn");
    begin_withdrawal(m_settings.deployment ? std::string() : leaving.id);
}

} // namespace monsoonlift::app
