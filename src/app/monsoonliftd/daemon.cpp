#include "app/monsoonliftd/daemon.h"

#include "app/monsoonliftd/daemon_options.h"
#include "core/contain.h"
#include "core/go_on.h"
#include "network/run_handlers.h"
#include "settings/changed_settings.h"

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

constexpr std::chrono::milliseconds ready_check_interval = 50ms;
constexpr std::chrono::milliseconds settings_check_interval = 1s;

core::incarnation generate_incarnation(const core::clock& clock, core::incarnation predecessor) {
    std::random_device random;
    return core::make_incarnation(clock.wall_now(), random(), predecessor);
}

} // namespace

daemon::daemon(settings::daemon_settings chosen, settings_source read_again, logging::event_log& log,
               core::incarnation predecessor)
    : m_settings(std::move(chosen)), m_current(m_settings),
      m_incarnation(generate_incarnation(m_clock, predecessor)), m_log(log),
      m_io(static_cast<int>(m_settings.workers)), m_control(boost::asio::make_strand(m_io)),
      m_timer(m_control), m_signals(m_control, SIGTERM, SIGINT), m_hangup(m_control, SIGHUP),
      m_read_settings(std::move(read_again)), m_settings_text(m_read_settings()),
      m_platform_address(std::make_shared<store::service_address>(m_settings.platform_address)),
      m_lifecycle([this](lifecycle::phase now) { on_phase_entered(now); }), m_scheduler(m_control),
      m_platform_client(make_store_client(m_settings, m_platform_address, m_control, log,
                                          {[this](std::uint64_t era) { note_era(era); },
                                           [this](std::uint64_t era) {
                                               notice_restore(era);
                                           }})),
      m_platform(*m_platform_client, m_scheduler, m_clock, log, store_limits_of(m_settings),
                 m_incarnation.value),
      m_configuration(log), m_proofs(make_proofs(m_settings)), m_peers(m_control),
      m_transport(m_io, transport_options_of(m_settings), m_incarnation, m_clock, log),
      m_ledger(m_clock, m_transport.self(), {}),
      m_crashes(m_clock, m_transport.self(), {}, log,
                [this](std::uint32_t topic, std::string payload) {
                    m_membership->spread({topic, std::move(payload)});
                }),
      m_gate(m_io, gate_options_of(m_settings, m_running), m_transport, m_ledger, m_crashes, m_budgets,
             m_clock, log, m_metrics),
      m_quota(make_quota()),
      m_entry(
          m_io, entry_options_of(m_settings, m_running, m_quota, m_proofs), m_transport, m_budgets,
          [this] { return m_configuration.current(); }, m_clock, log, m_metrics),
      m_admin(m_io, m_settings.admin_address, m_settings.admin_token, m_clock, log) {
    if (m_settings.deployment) {
        m_platform_server.emplace(m_io, m_settings.deployment->heartbeat_address,
                                  m_settings.deployment->ready_address, local_hooks(), m_clock, log);
    }
}

daemon::~daemon() = default;

void daemon::start() {
    m_directory.on_change([this](const membership::member& changed) { member_changed(changed); });
    prepare_freshness();
    start_transport();
    start_configuration();
    start_membership();
    start_homes();
    start_quota();
    m_gate.start();
    m_entry.start();
    add_routes();
    add_metrics();
    m_admin.start();
    if (m_platform_server) {
        m_platform_server->start();
    }
    await_signals();
    await_hangup();
    boost::asio::post(m_control, [this] {
        watch_settings();
        record_turns();
        m_follower->start();
        if (m_freshness) {
            m_freshness->start();
        }
        m_lifecycle.handle(lifecycle::signal::sockets_open);
        wait_until_ready();
    });
}

std::optional<core::incarnation> daemon::run() {
    std::vector<std::thread> workers;
    for (std::size_t index = 1; index < m_settings.workers; ++index) {
        workers.emplace_back([this] { work(); });
    }
    work();
    for (auto& worker : workers) {
        worker.join();
    }
    return m_is_stop_requested ? std::nullopt : m_predecessor;
}

void daemon::work() {
    network::run_handlers(m_io, [this](const std::string& why) { note_failure("a handler", why); });
}

void daemon::note_failure(const std::string& work, const std::string& why) {
    ++m_handlers_failed;
    const auto write_line = [&] {
        m_log.write(logging::event_id::handler_failed,
                    {{"work", work},
                     {"why", why},
                     {"at_gate", std::to_string(m_gate.counters().in_flight)},
                     {"at_entry", std::to_string(m_entry.counters().in_flight)}});
    };
    // NOTE: without memory for the line, the count is all that is left.
    core::contain(write_line, [](const std::string&) {});
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
        // NOTE: the peer may already know of the attempt, so its request doesn't count as unsent.
        cut.begins_attempt = false;
        take_unsent(cut);
    };
    handlers.misdirected = [this](const transport::frame& message) {
        if (auto refusal = gate::refuse_misdirected(message, m_transport.self(), m_clock.now())) {
            m_transport.send(refusal->to, std::move(refusal->message));
        }
    };
    handlers.failed = [this](const transport::frame& message) {
        if (message.target == transport::frame_target::gate) {
            m_gate.failed(message);
        } else if (message.target == transport::frame_target::entry) {
            m_entry.failed(message);
        }
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
                                                m_incarnation.value};
    m_follower =
        std::make_shared<configuration::configuration_follower>(parts, self, follower_rule_of(m_settings));
}

void daemon::start_homes() {
    m_configuration.on_change([this](std::uint64_t, const configuration::document& rules) {
        m_ledger.set_resend_window(rules.execution.resend_window);
        boost::asio::post(m_control, [this] { serve_homes(); });
    });
    execution::home_keeper_options options;
    options.random_seed = m_incarnation.value;
    m_homes = std::make_unique<execution::home_keeper>(
        m_scheduler, m_ledger, m_platform, m_log,
        [this](const std::string& service) { return other_gates(service); }, options);
}

std::shared_ptr<quota::quota_service> daemon::make_quota() {
    const auto has_joined = [this] {
        return m_membership && m_membership->joined();
    };
    return std::make_shared<quota::quota_service>(quota::quota_parts{
        m_scheduler, *m_platform_client, m_clock, m_transport, m_directory, m_log, has_joined});
}

void daemon::start_quota() {
    m_configuration.on_change([this](std::uint64_t, const configuration::document& rules) {
        m_quota->set_limits(rules.accounts ? quota::limits_of(*rules.accounts) : quota::account_limits());
    });
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
    options.backend_patience = backend_silence_of(m_settings);
    options.random_seed = m_incarnation.value;
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
    hooks.on_superseded = [this](const membership::member& later) {
        boost::asio::post(m_control, [this, later] { take_later_incarnation(later); });
    };
    hooks.on_rumor = [this](const membership::rumor& received) {
        take_rumor(received);
    };
    hooks.on_recorded_deregistrations = [this](const std::vector<core::departed_incarnation>& past) {
        boost::asio::post(m_control, [this, past] { take_recorded_deregistrations(past); });
    };
    return hooks;
}

void daemon::wait_until_ready() {
    if (m_phase != lifecycle::phase::joining) {
        return;
    }
    core::run_then([this] { check_ready(); },
                   [this] { m_scheduler.after(ready_check_interval, [this] { wait_until_ready(); }); });
}

void daemon::check_ready() {
    // NOTE: without a proof only the calls that need a key wait.
    const bool may_serve = !m_proofs || m_proofs->proven() || m_freshness->awaits_earlier_revisions();
    if (m_follower->has_settled() && m_configuration.revision() > 0 && may_serve && m_membership->joined()) {
        m_lifecycle.handle(lifecycle::signal::configuration_known);
    }
}

void daemon::await_signals() {
    m_signals.async_wait([this](const boost::system::error_code& failure, int) {
        if (!failure) {
            m_is_stop_requested = true;
            stop_gracefully();
        }
    });
}

void daemon::await_hangup() {
    m_hangup.async_wait([this](const boost::system::error_code& failure, int) {
        if (!failure) {
            core::run_then([this] { read_settings_again(); }, [this] { await_hangup(); });
        }
    });
}

void daemon::read_settings_again() {
    m_settings_text = m_read_settings();
    if (!m_settings_text) {
        m_log.write(logging::event_id::settings_refused,
                    {{"error", "the file can't be read"}, {"errors", "1"}});
        return;
    }
    take_settings(*m_settings_text);
}

void daemon::watch_settings() {
    core::run_then([this] { read_changed_settings(); },
                   [this] { m_scheduler.after(settings_check_interval, [this] { watch_settings(); }); });
}

void daemon::read_changed_settings() {
    const auto text = m_read_settings();
    // NOTE: a file that can't be read is being replaced; it is read again soon.
    if (text && text != m_settings_text) {
        m_settings_text = text;
        take_settings(*text);
    }
}

void daemon::take_settings(const std::string& text) {
    const auto outcome = settings::parse_daemon_settings(text);
    if (const auto* errors = std::get_if<std::vector<settings::settings_error>>(&outcome)) {
        m_log.write(logging::event_id::settings_refused, {{"error", settings::to_string(errors->front())},
                                                          {"errors", std::to_string(errors->size())}});
        return;
    }
    const auto& read = std::get<settings::daemon_settings>(outcome);
    auto changed = settings::take_changes(*m_current.get(), read);
    const bool is_changed = changed.has_taken || changed.waits_for_start;
    m_log.write(logging::event_id::settings_read_again,
                {{"changed", is_changed ? "yes" : "no"},
                 {"platform", changed.in_force.platform_address},
                 {"waits_for_start", changed.waits_for_start ? "yes" : "no"}});
    m_platform_address->replace(changed.in_force.platform_address);
    m_current.replace(std::move(changed.in_force));
}

void daemon::take_frame(transport::frame message) {
    if (message.target == transport::frame_target::gate) {
        m_gate.received(std::move(message));
    } else if (message.target == transport::frame_target::entry) {
        m_entry.received(std::move(message));
    } else {
        take_control(message);
    }
}

void daemon::take_control(const transport::frame& message) {
    const auto* received = std::get_if<transport::control_message>(&message.payload);
    if (received == nullptr) {
        return;
    }
    const core::endpoint_id from{received->reply_address, message.sender};
    // NOTE: a message of a topic without an owner is dropped: this daemon doesn't use what it is about.
    if (received->topic == transport::control_topic::quota) {
        m_quota->received(from, received->payload);
    } else if (received->topic == transport::control_topic::freshness && m_freshness) {
        m_freshness->received(from, received->payload);
    }
}

void daemon::take_unsent(const transport::unsent_frame& unsent) {
    if (unsent.from == transport::frame_target::gate) {
        m_gate.unsent(unsent.attempt);
    } else if (unsent.from == transport::frame_target::entry) {
        m_entry.unsent(unsent.attempt, unsent.begins_attempt);
    }
}

void daemon::member_changed(const membership::member& changed) {
    core::run_then([&] { m_entry.member_changed(changed); }, [&] { release_links(changed); });
}

void daemon::release_links(const membership::member& changed) {
    if (changed.status == membership::member_status::left) {
        m_transport.forget(changed.id.address);
    }
    if (changed.status == membership::member_status::dead) {
        m_transport.release(changed.id.address);
    }
}

} // namespace monsoonlift::app
