#include "app/monsoonliftd/daemon.h"

#include "admin/announcement.h"
#include "platform/backend_protocol.h"
#include "platform/caller_protocol.h"
#include "platform/platform_store.h"
#include "store/http_object_api.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <csignal>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace monsoonlift::app {

namespace {

using namespace std::chrono_literals;

/// Entries learn within this time that a gate drains; until then it takes what they still send.
constexpr std::chrono::milliseconds drain_grace = 1000ms;
constexpr std::chrono::milliseconds ready_check_interval = 50ms;
constexpr std::chrono::milliseconds idle_check_interval = 50ms;

/// Enough that each data centre of a small deployment watches with all its daemons.
constexpr std::size_t platform_watchers_per_data_centre = 8;

/// Root calls in flight that hold a budget; what they don't spend is given back, and the ratio bounds what
/// they do.
constexpr std::size_t platform_grant_burst = 400;

/// Watches that end at once, as in a quick series of changes, stay within this.
constexpr double platform_store_calls_per_second = 6;

/// Share of the time to stop after which what is still in flight is given up, so that the end is orderly.
constexpr double platform_stop_share = 0.9;

constexpr std::chrono::milliseconds platform_leave_patience = 300ms;

/// Heartbeats of the platform's backend servers may be seconds late.
constexpr std::chrono::milliseconds platform_backend_silence = 8000ms;

/// The platform asks once a second whether callers may come, and stops sending them after two refusals.
constexpr std::chrono::milliseconds platform_calls_after_stop = 2500ms;

/// How long a planned stop waits for the homes of plain keys to be handed over; in an outage they can't be.
constexpr std::chrono::milliseconds longest_hand_over = 5000ms;

core::incarnation draw_life(const core::clock& clock) {
    std::random_device random;
    return core::make_incarnation(clock.wall_now(), random());
}

std::chrono::milliseconds drain_grace_of(const settings::daemon_settings& chosen) {
    return chosen.deployment ? std::min(drain_grace, chosen.deployment->drain_bound / 2) : drain_grace;
}

gate::gate_options gate_options_of(const settings::daemon_settings& chosen,
                                   const std::shared_ptr<gate::running_requests>& running) {
    gate::gate_options options;
    options.decisions_on = chosen.decisions != "off";
    options.body_chunk_bytes = chosen.body_chunk_bytes;
    options.body_credit_chunks = static_cast<std::uint32_t>(chosen.body_credit_chunks);
    if (chosen.deployment) {
        options.protocol = platform::make_backend_protocol(running);
        options.backend_silence = platform_backend_silence;
    }
    return options;
}

/// A follower that has a change in force within the deployment's bound, whatever one failure costs.
configuration::follower_rule follower_rule_of(const settings::daemon_settings& chosen) {
    configuration::follower_rule rule;
    if (!chosen.deployment) {
        return rule;
    }
    const auto bound = chosen.deployment->configuration_bound;
    rule.watchers_per_data_centre = platform_watchers_per_data_centre;
    // NOTE: a watch whose connection has fallen silent is noticed when it should have ended.
    rule.watch_patience = bound;
    rule.call_patience = bound / 2;
    rule.role_check = bound / 2;
    rule.store_check = bound * 10;
    rule.start_check = bound / 2;
    rule.pull_jitter = bound / 10;
    rule.stuck_after = bound / 2;
    rule.store_backoff = {bound / 20, bound / 4};
    return rule;
}

/// Pauses that are short against the deployment's bounds.
store::call_limits store_limits_of(const settings::daemon_settings& chosen) {
    store::call_limits limits;
    if (chosen.deployment) {
        const auto bound = chosen.deployment->configuration_bound;
        limits.pauses.pause = {bound / 8, bound / 3};
        limits.budget.tokens_per_second = platform_store_calls_per_second;
    }
    return limits;
}

std::unique_ptr<store::object_api> make_store_client(const settings::daemon_settings& chosen,
                                                     const boost::asio::any_io_executor& control,
                                                     logging::event_log& log) {
    if (chosen.deployment) {
        return std::make_unique<platform::platform_store>(control, chosen.platform_address, log);
    }
    return std::make_unique<store::http_object_api>(control, chosen.platform_address);
}

transport::transport_addresses transport_addresses_of(const settings::daemon_settings& chosen) {
    return {chosen.transport_address, chosen.advertised_transport_address, chosen.transport_source_ip};
}

entry::entry_options entry_options_of(const settings::daemon_settings& chosen,
                                      const std::shared_ptr<gate::running_requests>& running) {
    entry::entry_options options;
    options.address = chosen.caller_address;
    options.data_centre = chosen.data_centre;
    options.decisions_on = chosen.decisions != "off";
    options.body_chunk_bytes = chosen.body_chunk_bytes;
    options.body_credit_chunks = static_cast<std::uint32_t>(chosen.body_credit_chunks);
    options.default_patience = chosen.default_patience;
    options.random_seed = std::random_device()();
    options.retry_burst = chosen.retry_burst;
    if (chosen.deployment) {
        options.protocol = platform::make_caller_protocol(chosen.deployment->service, running);
        options.grant_burst = platform_grant_burst;
    }
    return options;
}

} // namespace

daemon::daemon(settings::daemon_settings chosen, settings_source read_again, logging::event_log& log)
    : m_settings(std::move(chosen)), m_life(draw_life(m_clock)), m_log(log),
      m_io(static_cast<int>(m_settings.workers)), m_control(boost::asio::make_strand(m_io)),
      m_timer(m_control), m_signals(m_control, SIGTERM, SIGINT), m_hangup(m_control, SIGHUP),
      m_read_settings(std::move(read_again)), m_lifecycle([this](lifecycle::phase now) { entered(now); }),
      m_scheduler(m_control), m_platform_client(make_store_client(m_settings, m_control, log)),
      m_platform(*m_platform_client, m_scheduler, m_clock, log, store_limits_of(m_settings), m_life.value),
      m_configuration(log), m_peers(m_control),
      m_transport(m_io, transport_addresses_of(m_settings), m_life, m_clock, log),
      m_ledger(m_clock, m_transport.self(), {}),
      m_crashes(m_clock, m_transport.self(), {}, log,
                [this](std::uint32_t topic, std::string payload) {
                    m_membership->spread({topic, std::move(payload)});
                }),
      m_gate(m_io, gate_options_of(m_settings, m_running), m_transport, m_ledger, m_crashes, m_budgets,
             m_clock, log, m_metrics),
      m_entry(
          m_io, entry_options_of(m_settings, m_running), m_transport, m_budgets,
          [this] { return m_configuration.current(); }, m_clock, log, m_metrics),
      m_admin(m_io, m_settings.admin_address, m_settings.admin_token, m_clock, log) {
    if (m_settings.deployment) {
        m_local.emplace(m_io, m_settings.deployment->heartbeat_address, m_settings.deployment->ready_address,
                        local_hooks(), m_clock, log);
    }
}

daemon::~daemon() = default;

void daemon::start() {
    m_directory.on_change([this](const membership::member& changed) { member_changed(changed); });
    start_transport();
    start_configuration();
    start_membership();
    start_homes();
    m_gate.start();
    m_entry.start();
    add_routes();
    add_metrics();
    m_admin.start();
    if (m_local) {
        m_local->start();
    }
    await_signals();
    await_hangup();
    boost::asio::post(m_control, [this] {
        m_follower->start();
        m_lifecycle.handle(lifecycle::signal::sockets_open);
        wait_until_ready();
    });
}

void daemon::run() {
    std::vector<std::thread> workers;
    for (std::size_t index = 1; index < m_settings.workers; ++index) {
        workers.emplace_back([this] { m_io.run(); });
    }
    m_io.run();
    for (auto& worker : workers) {
        worker.join();
    }
}

daemon_addresses daemon::addresses() const {
    return {m_entry.address(), m_admin.address(), m_transport.self().address, m_membership->bound_address()};
}

void daemon::start_transport() {
    transport::frame_handlers handlers;
    handlers.received = [this](transport::frame message) {
        take_frame(std::move(message));
    };
    handlers.unsent = [this](const transport::unsent_frame& unsent) {
        take_unsent(unsent);
    };
    handlers.cut = [this](transport::unsent_frame cut) {
        // NOTE: the other side may know of the attempt, so its request doesn't count as unsent.
        cut.begins_attempt = false;
        take_unsent(cut);
    };
    m_transport.start(std::move(handlers));
}

void daemon::start_configuration() {
    m_configuration.on_change([this](std::uint64_t, const configuration::document& rules) {
        m_entry.set_classes(rules.classes);
        m_gate.set_classes(rules.classes);
    });
    const configuration::follower_parts parts{m_platform,  m_peers,         m_scheduler, m_clock,
                                              m_directory, m_configuration, m_log};
    const configuration::follower_identity self{m_transport.self().address, m_settings.data_centre,
                                                m_life.value};
    m_follower =
        std::make_shared<configuration::configuration_follower>(parts, self, follower_rule_of(m_settings));
}

void daemon::start_homes() {
    m_configuration.on_change([this](std::uint64_t, const configuration::document& rules) {
        m_ledger.set_resend_window(rules.execution.resend_window);
        boost::asio::post(m_control, [this] { serve_homes(); });
    });
    execution::home_keeper_options options;
    options.random_seed = m_life.value;
    m_homes = std::make_unique<execution::home_keeper>(
        m_scheduler, m_ledger, m_platform, m_log,
        [this](const std::string& service) { return other_gates(service); }, options);
}

std::vector<core::endpoint_id> daemon::other_gates(const std::string& service) const {
    std::vector<core::endpoint_id> others;
    for (const auto& known : m_directory.members()) {
        const bool takes_work = membership::is_present(known) && !known.draining;
        if (takes_work && known.service == service && known.id != m_transport.self()) {
            others.push_back(known.id);
        }
    }
    return others;
}

bool daemon::has_non_idempotent_calls(const std::string& service) const {
    const auto rules = m_configuration.current();
    const auto* rule = rules ? configuration::find_service(*rules, service) : nullptr;
    return rule != nullptr && std::any_of(rule->calls.begin(), rule->calls.end(),
                                          [](const auto& call) { return !call.idempotent; });
}

void daemon::start_membership() {
    membership::membership_options options;
    options.fleet = m_settings.fleet;
    options.self.id = m_transport.self();
    options.self.membership_address = m_settings.membership_address;
    options.self.admin_address = m_admin.address();
    options.self.name = m_settings.name;
    options.self.data_centre = m_settings.data_centre;
    options.seed_peers = m_settings.seed_peers;
    options.gone_object_patience = m_settings.gone_object_patience;
    if (m_settings.deployment) {
        options.backend_patience = platform_backend_silence;
    }
    options.random_seed = m_life.value;
    m_membership =
        std::make_unique<membership::membership_service>(m_io.get_executor(), m_clock, m_directory, m_log,
                                                         &m_platform, std::move(options), membership_hooks());
    const auto begin = [this]() -> core::result<bool> {
        auto started = m_membership->start();
        if (!started) {
            return started.error();
        }
        return true;
    };
    const auto failure = core::settle(
        begin, [](bool) { return std::string(); }, [](const core::error& error) { return error.message; });
    if (!failure.empty()) {
        throw std::runtime_error("membership: " + failure);
    }
}

membership::membership_hooks daemon::membership_hooks() {
    membership::membership_hooks hooks;
    hooks.own_revision = [this] {
        return m_configuration.revision();
    };
    hooks.on_peer_revision = [this](const std::string& admin_address, std::uint64_t revision) {
        m_follower->on_peer_revision(admin_address, revision);
    };
    hooks.on_superseded = [this] {
        boost::asio::post(m_control, [this] { stop_gracefully(); });
    };
    hooks.on_rumor = [this](const membership::rumor& told) {
        m_crashes.take_rumor(told.topic, told.payload);
    };
    return hooks;
}

void daemon::wait_until_ready() {
    if (m_phase != lifecycle::phase::joining) {
        return;
    }
    if (m_follower->has_settled() && m_configuration.revision() > 0 && m_membership->joined()) {
        m_lifecycle.handle(lifecycle::signal::configuration_known);
        return;
    }
    m_scheduler.after(ready_check_interval, [this] { wait_until_ready(); });
}

void daemon::await_signals() {
    m_signals.async_wait([this](const boost::system::error_code& failure, int) {
        if (!failure) {
            stop_gracefully();
        }
    });
}

void daemon::await_hangup() {
    m_hangup.async_wait([this](const boost::system::error_code& failure, int) {
        if (!failure) {
            read_settings_again();
            await_hangup();
        }
    });
}

void daemon::read_settings_again() {
    const auto outcome = m_read_settings();
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&outcome)) {
        m_log.write(logging::event_id::settings_refused, {{"error", settings::to_string(errors->front())},
                                                          {"errors", std::to_string(errors->size())}});
        return;
    }
    const bool same = std::get<settings::daemon_settings>(outcome) == m_settings;
    m_log.write(logging::event_id::settings_read_again, {{"changed", same ? "no" : "yes"}});
}

void daemon::take_frame(transport::frame message) {
    if (message.target == transport::frame_target::gate) {
        m_gate.received(std::move(message));
    } else {
        m_entry.received(std::move(message));
    }
}

void daemon::take_unsent(const transport::unsent_frame& unsent) {
    if (unsent.from == transport::frame_target::gate) {
        m_gate.unsent(unsent.attempt);
    } else {
        m_entry.unsent(unsent.attempt, unsent.begins_attempt);
    }
}

void daemon::member_changed(const membership::member& changed) {
    m_entry.member_changed(changed);
    const bool gone = changed.status == membership::member_status::dead ||
                      changed.status == membership::member_status::left;
    if (gone) {
        m_transport.forget(changed.id.address);
    }
}

admin::admin_response daemon::announce(const admin::admin_request& request) {
    const auto parsed = admin::parse_announcement(request.body);
    if (const auto* wrong = std::get_if<admin::announcement_error>(&parsed)) {
        return {400, "text/plain", wrong->detail + "\n"};
    }
    const auto& server = std::get<gate::backend_server>(parsed);
    m_gate.announce(server);
    m_membership->announce(server.service);
    serve_homes();
    return {200, "application/json", "{}"};
}

void daemon::serve_homes() {
    const auto server = m_gate.backend();
    // NOTE: callers of the platform have no keys of their own, so there is nothing to keep a home for.
    if (server && !m_settings.deployment && has_non_idempotent_calls(server->service)) {
        m_homes->serve(server->service);
    }
}

admin::admin_response daemon::withdraw() {
    begin_withdrawal();
    return {200, "application/json", "{}"};
}

void daemon::begin_withdrawal() {
    m_gate.expect_withdrawal();
    m_membership->withdraw();
    boost::asio::post(m_control, [this, leaving = m_gate.backend()] {
        auto timer = std::make_shared<boost::asio::steady_timer>(m_control, drain_grace_of(m_settings));
        timer->async_wait([this, timer, leaving](const boost::system::error_code&) {
            const auto now = m_gate.backend();
            const bool is_replaced =
                now && leaving && (now->id != leaving->id || now->instance != leaving->instance);
            if (!is_replaced) {
                m_gate.withdraw();
            }
        });
    });
}

platform::local_server_hooks daemon::local_hooks() {
    platform::local_server_hooks hooks;
    hooks.is_ready = [this] {
        return m_phase == lifecycle::phase::serving;
    };
    hooks.heard = [this](const platform::heartbeat& told) {
        boost::asio::post(m_control, [this, told] { take_heartbeat(told); });
    };
    hooks.deregistered = [this](const std::string& id, std::uint64_t started_ms) {
        boost::asio::post(m_control, [this, id, started_ms] { take_deregistration(id, started_ms); });
    };
    return hooks;
}

void daemon::take_heartbeat(const platform::heartbeat& told) {
    const gate::announcement_mark mark{told.id, told.started_ms, told.sequence};
    if (gate::is_overtaken(m_newest_heartbeat, mark)) {
        m_log.write(logging::event_id::heartbeat_late,
                    {{"id", told.id}, {"sequence", std::to_string(told.sequence)}});
        return;
    }
    m_newest_heartbeat = mark;
    if (told.draining) {
        leave_backend(told.id);
        return;
    }
    m_leaving_backend.clear();
    const auto rules = m_configuration.current();
    const auto* service = rules ? configuration::find_service(*rules, told.service) : nullptr;
    gate::backend_server server;
    server.service = told.service;
    server.address = m_settings.deployment->backend_address;
    server.slots = told.slots;
    server.connections = service != nullptr ? service->connections : told.slots;
    server.instance = told.id + "/" + std::to_string(told.started_ms);
    server.id = told.id;
    m_gate.announce(server);
    m_membership->announce(server.service);
}

void daemon::take_deregistration(const std::string& id, std::uint64_t started_ms) {
    const bool is_of_earlier_life =
        m_newest_heartbeat &&
        (m_newest_heartbeat->id != id || (started_ms != 0 && started_ms < m_newest_heartbeat->started_ms));
    if (!is_of_earlier_life) {
        leave_backend(id);
    }
}

void daemon::leave_backend(const std::string& id) {
    if (std::exchange(m_leaving_backend, id) != id) {
        begin_withdrawal();
    }
}

void daemon::stop_gracefully() {
    m_log.write(logging::event_id::process_stopping, {});
    m_lifecycle.handle(lifecycle::signal::stop_asked);
}

void daemon::entered(lifecycle::phase now) {
    m_phase = now;
    if (now == lifecycle::phase::draining) {
        drain();
    }
    if (now == lifecycle::phase::stopped) {
        leave();
    }
}

void daemon::drain() {
    m_log.write(logging::event_id::drain_started, {});
    m_drain_watch.begin(drain_time());
    m_membership->drain();
    m_hand_over_until = m_clock.now() + longest_hand_over;
    if (m_settings.deployment) {
        m_callers_until = m_clock.now() + platform_calls_after_stop;
        m_stop_by = m_clock.now() + std::chrono::duration_cast<std::chrono::milliseconds>(
                                        m_settings.deployment->stop_bound * platform_stop_share);
    }
    m_homes->drain([this] { boost::asio::post(m_control, [this] { m_homes_handed_over = true; }); });
    m_entry.close_connections();
    m_timer.expires_after(drain_grace_of(m_settings));
    m_timer.async_wait([this](const boost::system::error_code&) {
        m_gate.drain();
        wait_until_idle();
    });
}

std::chrono::milliseconds daemon::drain_time() const {
    const auto rules = m_configuration.current();
    const auto backend = m_gate.backend();
    const auto* service = rules && backend ? configuration::find_service(*rules, backend->service) : nullptr;
    return service != nullptr ? service->drain_time : configuration::service_rule().drain_time;
}

void daemon::note_long_drain() {
    if (m_drain_watch.has_run_over()) {
        m_log.write(logging::event_id::drain_overdue,
                    {{"at_gate", std::to_string(m_gate.counters().in_flight)},
                     {"at_entry", std::to_string(m_entry.counters().in_flight)}});
    }
}

void daemon::wait_until_idle() {
    m_timer.expires_after(idle_check_interval);
    m_timer.async_wait([this](const boost::system::error_code&) {
        // NOTE: requests in flight may still make nested calls, so the entry closes after the gate is empty.
        const bool gate_idle = m_gate.counters().in_flight == 0;
        const bool callers_may_come = m_settings.deployment && m_clock.now() < m_callers_until;
        if (gate_idle && !callers_may_come) {
            m_entry.stop_accepting();
        }
        if (m_settings.deployment && !callers_may_come) {
            // NOTE: the platform kills a process that takes too long, with whatever it took last.
            m_entry.stop_accepting();
            m_entry.close_idle_connections();
        }
        const bool homes_settled = m_homes_handed_over || m_clock.now() >= m_hand_over_until;
        const bool out_of_time = m_settings.deployment && m_clock.now() >= m_stop_by;
        const bool is_busy =
            !gate_idle || callers_may_come || !homes_settled || m_entry.counters().in_flight > 0;
        if (is_busy && !out_of_time) {
            note_long_drain();
            wait_until_idle();
            return;
        }
        m_log.write(logging::event_id::drain_finished, {{"given_up", is_busy ? "yes" : "no"}});
        if (is_busy) {
            m_entry.give_up_all();
        }
        m_lifecycle.handle(lifecycle::signal::nothing_in_flight);
    });
}

void daemon::leave() {
    if (m_settings.deployment) {
        m_membership->leave([] {});
        // NOTE: the store may be out; the member's object is written anew by the next life.
        m_scheduler.after(platform_leave_patience, [this] { end(); });
        return;
    }
    m_membership->leave([this] { boost::asio::post(m_control, [this] { end(); }); });
}

void daemon::end() {
    if (std::exchange(m_has_ended, true)) {
        return;
    }
    m_homes->stop();
    m_follower->stop();
    m_membership->stop();
    m_gate.stop();
    m_admin.stop();
    m_log.write(logging::event_id::process_stopped, {});
    m_io.stop();
}

} // namespace monsoonlift::app
