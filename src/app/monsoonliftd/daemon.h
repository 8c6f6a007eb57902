#pragma once

#include "admin/admin_server.h"
#include "configuration/configuration_follower.h"
#include "configuration/configuration_holder.h"
#include "configuration/http_peer_source.h"
#include "core/system_clock.h"
#include "entry/entry_service.h"
#include "execution/crash_guard.h"
#include "execution/execution_ledger.h"
#include "execution/home_keeper.h"
#include "gate/backend_lives.h"
#include "gate/gate_service.h"
#include "lifecycle/daemon_lifecycle.h"
#include "lifecycle/drain_watch.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "membership/membership_service.h"
#include "metrics/metrics_registry.h"
#include "platform/local_server.h"
#include "settings/daemon_settings.h"
#include "store/asio_scheduler.h"
#include "store/budgeted_object_api.h"
#include "transport/tcp_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::app {

/// Addresses that were bound.
struct daemon_addresses {
    std::string caller;
    std::string admin;
    std::string transport;
    std::string membership;
};

/// Reads the settings file once more.
using settings_source = std::function<settings::settings_outcome()>;

/// All parts of one daemon process, wired together.
class daemon {
public:
    /// Builds all parts and binds the TCP addresses; throws if one can't be bound. `log` outlives the daemon.
    daemon(settings::daemon_settings chosen, settings_source read_again, logging::event_log& log);
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts all parts and binds the membership address; throws if that fails.
    void start();

    /// Works until a planned stop has ended.
    void run();

    /// The addresses that were bound; call it after start().
    [[nodiscard]] daemon_addresses addresses() const;

private:
    using control_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    void start_transport();
    void start_configuration();
    void start_homes();
    [[nodiscard]] std::vector<core::endpoint_id> other_gates(const std::string& service) const;
    [[nodiscard]] bool has_non_idempotent_calls(const std::string& service) const;

    /// Takes part in the homes of the local backend server's service, once both it and its calls are known.
    void serve_homes();
    [[nodiscard]] admin::admin_response quarantine(const admin::admin_request& request);
    [[nodiscard]] std::string quarantined() const;
    void start_membership();
    [[nodiscard]] membership::membership_hooks membership_hooks();
    void wait_until_ready();
    void add_routes();
    void add_metrics();
    void await_signals();
    void await_hangup();
    void read_settings_again();
    void take_frame(transport::frame message);
    void take_unsent(const transport::unsent_frame& unsent);
    void member_changed(const membership::member& changed);

    /// What the backend server says over the project's own interface; the rest on the control strand.
    void announce(const admin::admin_request& request, const admin::admin_reply& reply);
    void withdraw(const admin::admin_request& request, const admin::admin_reply& reply);
    void take_announcement(const gate::backend_server& server);
    void take_withdrawal(const std::string& instance, const admin::admin_reply& reply);

    /// Withdraws that start of the backend server; an empty name stands for the one that is known.
    void begin_withdrawal(const std::string& instance);

    /// What the platform's calls to this daemon lead to; used on the control strand.
    [[nodiscard]] platform::local_server_hooks local_hooks();
    void take_heartbeat(const platform::heartbeat& told, const platform::acknowledgement& acknowledge);
    void take_draining(const platform::heartbeat& told, const platform::acknowledgement& acknowledge);
    void take_deregistration(const platform::deregistration& told,
                             const platform::acknowledgement& acknowledge);
    [[nodiscard]] gate::backend_server server_of(const platform::heartbeat& told) const;

    /// What any backend server's announcements and farewells lead to; used on the control strand.
    void take_ready(const gate::announcement_mark& mark, const gate::backend_server& server);
    void take_farewell(const core::departed_life& leaving, const char* how,
                       const platform::acknowledgement& acknowledge);

    /// The farewells that earlier processes of this daemon heard.
    void take_past(const std::vector<core::departed_life>& past);
    void note_heartbeat(const gate::backend_lives& before, const gate::announcement_mark& mark,
                        gate::announcement_effect effect);
    void serve_backend(const gate::backend_server& server);
    void leave_backend(const core::departed_life& leaving, const char* how);

    /// Acknowledges the leaving once the platform remembers it, and refuses to if that takes too long.
    void acknowledge_leaving(const platform::acknowledgement& acknowledge);
    void note_farewell(const core::departed_life& leaving, const char* how, const char* outcome);
    [[nodiscard]] admin::admin_response ready() const;
    [[nodiscard]] std::string status() const;
    void stop_gracefully();
    void entered(lifecycle::phase now);
    void drain();
    [[nodiscard]] std::chrono::milliseconds drain_time() const;
    void note_long_drain();
    void wait_until_idle();
    void leave();
    void end();

    const settings::daemon_settings m_settings;
    core::system_clock m_clock;
    const core::incarnation m_life;
    logging::event_log& m_log;
    boost::asio::io_context m_io;
    control_strand m_control;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_hangup;
    settings_source m_read_settings;
    std::atomic<lifecycle::phase> m_phase = lifecycle::phase::starting;
    lifecycle::daemon_lifecycle m_lifecycle;
    metrics::metrics_registry m_metrics;
    membership::member_directory m_directory;
    store::asio_scheduler m_scheduler;
    std::unique_ptr<store::object_api> m_platform_client;
    store::budgeted_object_api m_platform;
    configuration::configuration_holder m_configuration;
    configuration::http_peer_source m_peers;
    transport::tcp_transport m_transport;
    const std::shared_ptr<gate::running_requests> m_running = std::make_shared<gate::running_requests>();
    gate::nested_budgets m_budgets;
    execution::execution_ledger m_ledger;
    execution::crash_guard m_crashes;
    gate::gate_service m_gate;
    entry::entry_service m_entry;
    admin::admin_server m_admin;
    std::shared_ptr<configuration::configuration_follower> m_follower;
    std::unique_ptr<membership::membership_service> m_membership;
    std::unique_ptr<execution::home_keeper> m_homes;
    lifecycle::drain_watch m_drain_watch{m_clock};
    std::optional<platform::local_server> m_local;    ///< Only on the users' platform.
    gate::backend_lives m_lives;                      ///< Of the backend server beside this daemon.
    std::optional<gate::backend_server> m_last_ready; ///< As the life that serves or waits said last.
    std::uint64_t m_announcements = 0;                ///< Heard over the project's own interface.
    core::steady_time m_callers_until;
    core::steady_time m_stop_by;
    bool m_homes_handed_over = false;
    bool m_refuses_callers = false; ///< In a planned stop, once no more of them are sent.
    bool m_has_ended = false;
    core::steady_time m_hand_over_until;
};

} // namespace monsoonlift::app
