#pragma once

#include "admin/admin_server.h"
#include "app/monsoonliftd/settings_in_force.h"
#include "configuration/configuration_follower.h"
#include "configuration/configuration_holder.h"
#include "configuration/freshness_holder.h"
#include "configuration/freshness_keeper.h"
#include "configuration/http_peer_source.h"
#include "core/system_clock.h"
#include "entry/entry_service.h"
#include "execution/crash_guard.h"
#include "execution/execution_ledger.h"
#include "execution/home_keeper.h"
#include "gate/backend_incarnations.h"
#include "gate/gate_service.h"
#include "gate/misdirected_request.h"
#include "lifecycle/daemon_lifecycle.h"
#include "lifecycle/drain_watch.h"
#include "lifecycle/run_record.h"
#include "logging/event_log.h"
#include "membership/member_directory.h"
#include "membership/membership_service.h"
#include "metrics/metrics_registry.h"
#include "platform/local_server.h"
#include "quota/quota_service.h"
#include "settings/daemon_settings.h"
#include "store/asio_scheduler.h"
#include "store/budgeted_object_api.h"
#include "store/service_address.h"
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

/// The "ip:port" addresses that the daemon listens on.
struct daemon_addresses {
    std::string caller;
    std::string admin;
    std::string transport;
    std::string membership;
};

/// Returns the text of the settings file; nothing if it can't be read.
using settings_source = std::function<std::optional<std::string>()>;

/// One daemon process: creates its components and connects them.
class daemon {
public:
    /// Creates all components and binds the TCP addresses; throws if one can't be bound. `log` outlives the
    /// daemon. Its incarnation is later than `predecessor`.
    daemon(settings::daemon_settings chosen, settings_source read_again, logging::event_log& log,
           core::incarnation predecessor = {});
    ~daemon();
    daemon(const daemon&) = delete;
    daemon& operator=(const daemon&) = delete;

    /// Starts all components and binds the membership address; throws if that fails.
    void start();

    /// Runs the worker threads until a planned stop has completed. Returns the incarnation of the daemon's
    /// predecessor if peers took that for the later one: the process should go on with another daemon, made
    /// with it.
    [[nodiscard]] std::optional<core::incarnation> run();

    /// The addresses that the daemon listens on; call it after start().
    [[nodiscard]] daemon_addresses addresses() const;

private:
    using control_strand = boost::asio::strand<boost::asio::io_context::executor_type>;

    void work();
    /// Counts an internal error that ended one piece of `work`, and writes a line; doesn't throw, and is safe
    /// to call from any thread.
    void note_failure(const std::string& work, const std::string& why);
    void start_transport();
    void start_configuration();
    /// Prepares to keep proofs that the configuration is recent, if the deployment bounds their age.
    void prepare_freshness();
    void add_freshness_metrics();
    /// Tells the keeper of proofs the era of the platform's store.
    void note_era(std::uint64_t era);
    /// Handles a restore of the platform's store from a copy, seen by this daemon's client.
    void notice_restore(std::uint64_t era);
    /// Handles another daemon's report of a restore.
    void take_rumor(const membership::rumor& received);
    void take_store_era(std::uint64_t era);
    void start_homes();
    void start_quota();
    [[nodiscard]] std::shared_ptr<quota::quota_service> make_quota();
    [[nodiscard]] std::vector<core::endpoint_id> other_gates(const std::string& service) const;
    [[nodiscard]] bool has_non_idempotent_calls(const std::string& service) const;

    /// Lets this gate acquire homes of idempotency keys of the local backend server's service, once the
    /// service is known to have non-idempotent calls. Does nothing on the users' platform.
    void serve_homes();
    [[nodiscard]] admin::admin_response quarantine(const admin::admin_request& request);
    [[nodiscard]] std::string quarantined() const;
    void start_membership();
    [[nodiscard]] membership::membership_hooks membership_hooks();
    void wait_until_ready();
    void check_ready();
    void add_routes();
    void add_metrics();
    void await_signals();
    void await_hangup();
    void read_settings_again();

    /// Reads the settings again if the file has changed, as it may without a signal; repeats itself.
    void watch_settings();
    void read_changed_settings();
    void take_settings(const std::string& text);
    void take_frame(transport::frame message);

    /// Passes a message that belongs to no call to the owner of its topic.
    void take_control(const transport::frame& message);
    void take_unsent(const transport::unsent_frame& unsent);
    void member_changed(const membership::member& changed);
    void release_links(const membership::member& changed);

    /// Handle announcements and withdrawals on the admin port, the project's own interface for backend
    /// servers. announce() and withdraw() parse the request on any thread; the other two run on the control
    /// strand.
    void announce(const admin::admin_request& request, const admin::admin_reply& reply);
    void withdraw(const admin::admin_request& request, const admin::admin_reply& reply);
    void take_announcement(const gate::backend_server& server);
    void take_withdrawal(const std::string& instance, const admin::admin_reply& reply);

    /// Withdraws the backend server's incarnation `instance`; an empty name means the known
    /// one.
    void begin_withdrawal(const std::string& instance);

    /// Hooks for the platform's calls to this daemon; the take functions below run on the control strand.
    [[nodiscard]] platform::local_server_hooks local_hooks();
    void take_heartbeat(const platform::heartbeat& received, const platform::acknowledgement& acknowledge);
    void take_draining(const platform::heartbeat& received, const platform::acknowledgement& acknowledge);
    void take_deregistration(const platform::deregistration& received,
                             const platform::acknowledgement& acknowledge);
    [[nodiscard]] gate::backend_server server_of(const platform::heartbeat& received) const;

    /// Process announcements and deregistrations of the backend server, whichever interface they arrive on;
    /// used on the control strand.
    void take_ready(const gate::announcement_position& mark, const gate::backend_server& server);
    void deregister_backend(const core::departed_incarnation& leaving, const char* how,
                            const platform::acknowledgement& acknowledge);

    /// Processes the deregistrations that earlier processes of this daemon recorded in the store.
    void take_recorded_deregistrations(const std::vector<core::departed_incarnation>& past);
    void log_heartbeat_effect(const gate::backend_incarnations& before,
                              const gate::announcement_position& mark, gate::announcement_effect effect);
    void serve_backend(const gate::backend_server& server);
    void stop_serving_backend(const core::departed_incarnation& leaving, const char* how);

    /// Acknowledges a deregistration once the platform's store holds it. Refuses it if that doesn't
    /// happen before backend servers stop waiting for an answer.
    void acknowledge_deregistration(const platform::acknowledgement& acknowledge);
    void log_deregistration(const core::departed_incarnation& leaving, const char* how, const char* outcome);
    [[nodiscard]] admin::admin_response ready() const;
    [[nodiscard]] std::string status() const;
    /// Notes each turn of the control strand; repeats itself.
    void record_turns();
    void stop_gracefully();

    /// Ends this daemon, as peers know a later incarnation at its address: with a planned stop, or as soon as
    /// its callers are answered if it has not joined yet.
    void take_later_incarnation(const membership::member& later);
    void on_phase_entered(lifecycle::phase now);
    void drain();
    [[nodiscard]] std::chrono::milliseconds drain_time() const;
    [[nodiscard]] std::chrono::milliseconds share_of_stop_bound(double share) const;
    void begin_drain();
    void wait_for_grace();
    void log_overdue_drain();
    void set_stop_deadlines();
    void refuse_unexpected_callers();
    void wait_until_idle();
    void check_idle();

    /// Completes the drain if nothing is in flight any more or time is up.
    void finish_if_idle();
    void finish_drain(bool is_busy);
    void leave();
    void end_later();
    void end_once_answered();
    void end();
    void stop_parts();

    const settings::daemon_settings m_settings; ///< As read at the start.
    settings_in_force m_current;
    core::system_clock m_clock;
    const core::incarnation m_incarnation;
    logging::event_log& m_log;
    boost::asio::io_context m_io;
    control_strand m_control;
    boost::asio::steady_timer m_timer;
    boost::asio::signal_set m_signals;
    boost::asio::signal_set m_hangup;
    settings_source m_read_settings;
    std::optional<std::string> m_settings_text; ///< As read last.
    std::shared_ptr<store::service_address> m_platform_address;
    std::atomic<lifecycle::phase> m_phase = lifecycle::phase::starting;
    lifecycle::daemon_lifecycle m_lifecycle;
    metrics::metrics_registry m_metrics;
    std::atomic<std::uint64_t> m_handlers_failed = 0; ///< Handlers that an internal error ended.
    membership::member_directory m_directory;
    store::asio_scheduler m_scheduler;
    std::unique_ptr<store::object_api> m_platform_client;
    store::budgeted_object_api m_platform;
    configuration::configuration_holder m_configuration;
    /// Proofs that the configuration is recent; null if the deployment doesn't bound their age.
    const std::shared_ptr<configuration::freshness_holder> m_proofs;
    configuration::http_peer_source m_peers;
    transport::tcp_transport m_transport;
    const std::shared_ptr<gate::running_requests> m_running = std::make_shared<gate::running_requests>();
    gate::nested_budgets m_budgets;
    execution::execution_ledger m_ledger;
    execution::crash_guard m_crashes;
    gate::gate_service m_gate;
    const std::shared_ptr<quota::quota_service> m_quota;
    entry::entry_service m_entry;
    admin::admin_server m_admin;
    std::shared_ptr<configuration::configuration_follower> m_follower;
    std::shared_ptr<configuration::freshness_keeper> m_freshness; ///< Null without `m_proofs`.
    std::unique_ptr<membership::membership_service> m_membership;
    std::unique_ptr<execution::home_keeper> m_homes;
    lifecycle::drain_watch m_drain_watch{m_clock};
    lifecycle::run_record m_turns = lifecycle::begin_record(m_clock.now()); ///< Of the control strand.
    std::optional<platform::local_server> m_platform_server; ///< Set only on the users' platform.
    gate::backend_incarnations m_backend_incarnations;       ///< Of the local backend server.
    std::optional<gate::backend_server> m_last_ready;        ///< Latest ready announcement that was not late.
    std::uint64_t m_store_era = 0;     ///< Of the latest restore of the store that was handled.
    std::uint64_t m_announcements = 0; ///< Received on the admin port and naming an instance.
    core::steady_time m_callers_expected_until;
    core::steady_time m_stop_deadline = core::steady_time::max(); ///< Set only on the users' platform.
    core::steady_time m_end_deadline;
    bool m_homes_handed_over = false;
    bool m_refuses_callers = false; ///< Set in a planned stop, once the platform sends no more callers.
    bool m_has_ended = false;
    bool m_is_stop_requested = false;               ///< By the platform or an operator.
    std::optional<core::incarnation> m_predecessor; ///< Taken by peers for the later one.
    core::steady_time m_hand_over_deadline;
};

} // namespace monsoonlift::app
