#pragma once

#include "gate/gate_service.h"
#include "gate/internal/attempt_memory.h"
#include "gate/internal/gate_call.h"
#include "gate/internal/load_watch.h"

#include "core/silence_watch.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <unordered_map>

namespace monsoonlift::gate {

/// State shared by the calls of one gate, which keep it alive.
class gate_service::state : public std::enable_shared_from_this<gate_service::state> {
public:
    state(boost::asio::io_context& io, const gate_options& options, transport::frame_sender& sender,
          execution::execution_ledger& ledger, execution::crash_guard& crashes, nested_budgets& budgets,
          const core::clock& clock, logging::event_log& log, metrics::metrics_registry& metrics);

    void start();
    void stop();
    void set_classes(const std::vector<std::string>& names) { m_classes.set_names(names); }
    void received(transport::frame message);
    void unsent(const core::attempt_id& attempt);
    void failed(const transport::frame& message);
    bool announce(const backend_server& server);
    bool leave(const std::string& instance, core::steady_time at);
    void drain();
    [[nodiscard]] gate_counters counters() const;
    [[nodiscard]] routing::load_report report() const { return m_table.report(); }
    [[nodiscard]] std::optional<backend_server> backend() const { return m_table.backend(); }

private:
    using call = std::shared_ptr<internal::gate_call>;

    void arrived(const transport::frame& message, transport::request_head head);
    void admit(const call& fresh, std::uint64_t run);
    [[nodiscard]] bool try_admit(const call& fresh);

    /// Ends an attempt whose arrival an internal error broke off, unless it has ended or starts.
    void break_off_arrival(std::uint64_t run);
    void probe_backend(unsigned probes);
    void probed(bool refused, unsigned probes_left);
    [[nodiscard]] call remember(const transport::frame& message, transport::request_head head,
                                std::uint64_t run);
    void cancelled(const transport::frame& message);
    /// Carries out each change; one that fails ends its own call alone.
    void apply(const gate_changes& changes);
    void start_run(std::uint64_t run);
    void break_off_start(std::uint64_t run);
    void free_slot(const internal::run_report& report);
    void withdraw();

    /// Tells the entry of an attempt that never got as far as a call that it has ended.
    void refuse_unknown(const transport::frame& message);
    [[nodiscard]] bool has_arrived(const core::attempt_id& attempt) const;
    void refuse_run(const refusal& refused);
    void ended(std::uint64_t run, const internal::run_report& report);
    [[nodiscard]] call find(const core::attempt_id& attempt) const;
    [[nodiscard]] call find(std::uint64_t run) const;
    [[nodiscard]] call forget(std::uint64_t run);
    void tick_later();
    void tick();
    void withdraw_if_silent(core::steady_time now);
    void forget_old_attempts(core::steady_time now);

    /// Logs once per second the request counts since the previous call that logged.
    void log_counts(core::steady_time now);

    const gate_options m_options;
    const core::clock& m_clock;
    internal::gate_classes m_classes;
    internal::gate_events m_events;
    internal::attempt_decisions m_decisions;
    internal::load_watch m_load_watch;
    gate_table m_table;
    internal::backend_pool m_pool;
    internal::gate_environment m_env;
    boost::asio::steady_timer m_timer;
    std::atomic<bool> m_stopped = false;
    core::silence_watch m_backend_silence;
    std::atomic<bool> m_withdrawn = false;
    std::atomic<bool> m_probing = false;
    std::mutex m_announce_mutex;     ///< Locked before the mutex of gate_table.
    std::string m_previous_instance; ///< Replaced or deregistered; its later announcements are ignored.

    mutable std::mutex m_calls_mutex;
    std::unordered_map<std::uint64_t, call> m_calls;
    internal::attempt_memory m_attempts;
    core::steady_time m_next_cleanup;

    std::atomic<std::uint64_t> m_next_run = 1;
    std::atomic<std::uint64_t> m_arrived = 0;
    std::atomic<std::uint64_t> m_answered = 0;
    std::atomic<std::uint64_t> m_refused = 0;
    std::atomic<std::uint64_t> m_failed = 0;
    std::atomic<std::uint64_t> m_cancelled = 0;
    std::atomic<std::uint64_t> m_shed = 0;           ///< Part of m_refused.
    std::atomic<std::uint64_t> m_server_refused = 0; ///< See gate_interval::server_refused.
    internal::gate_interval m_last_logged;           ///< Totals at the last logged interval.
    core::steady_time m_next_counts;
    core::steady_time m_tick_due;
    std::chrono::nanoseconds m_largest_lag{0}; ///< Since the last logged interval.
};

} // namespace monsoonlift::gate
