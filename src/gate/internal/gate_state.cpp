#include "gate/internal/gate_state.h"

#include "logging/contained_step.h"
#include "transfer/body_digest.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::gate {

namespace {

using namespace std::chrono_literals;
using transport::end_reason;

constexpr std::chrono::milliseconds tick_interval = 10ms;
constexpr std::chrono::milliseconds cleanup_interval = 500ms;
constexpr std::chrono::seconds counts_interval = 1s;
constexpr std::chrono::seconds attempt_retention_after_deadline = 10s;
constexpr unsigned probes_after_abort =
    3; ///< Connection attempts that distinguish a crashed backend server from a single failed call.
constexpr std::chrono::milliseconds probe_pause = 50ms;

/// Whether the backend server was restarted at its address; both incarnations must have announced an
/// instance.
bool is_restart(const backend_server& before, const backend_server& after) {
    return before.address == after.address && !before.instance.empty() && !after.instance.empty() &&
           before.instance != after.instance;
}

} // namespace

gate_service::state::state(boost::asio::io_context& io, const gate_options& options,
                           transport::frame_sender& sender, execution::execution_ledger& ledger,
                           execution::crash_guard& crashes, nested_budgets& budgets, const core::clock& clock,
                           logging::event_log& log, metrics::metrics_registry& metrics)
    : m_options(options), m_clock(clock), m_classes([&metrics](const std::string& name) {
          return std::make_unique<internal::gate_class>(metrics, name);
      }),
      m_events(log, clock, metrics), m_decisions(log), m_table(options.decisions_on, options.whole_chains),
      m_pool(io.get_executor()), m_env{m_options, sender, ledger,           crashes,  budgets,
                                       clock,     log,    m_classes,        m_events, m_decisions,
                                       m_table,   m_pool, io.get_executor()},
      m_timer(io), m_backend_silence(options.backend_silence_timeout) {}

void gate_service::state::start() {
    tick_later();
}

void gate_service::state::stop() {
    m_stopped = true;
}

void gate_service::state::received(transport::frame message) {
    if (auto* head = std::get_if<transport::request_head>(&message.payload)) {
        arrived(message, std::move(*head));
        return;
    }
    if (std::holds_alternative<transport::cancel>(message.payload)) {
        cancelled(message);
        return;
    }
    const auto known = find(message.attempt);
    if (known) {
        known->received(std::move(message.payload));
        return;
    }
    m_events.unknown_frame(message.attempt);
}

void gate_service::state::arrived(const transport::frame& message, transport::request_head head) {
    ++m_arrived;
    const auto run = m_next_run++;
    const bool body_broken = head.total && !transfer::matches(transfer::total_of(head.body), *head.total);
    const auto fresh = remember(message, std::move(head), run);
    if (!fresh) {
        m_events.copy_refused(message.attempt, "the attempt has arrived before");
        return;
    }
    if (body_broken) {
        m_env.log.write(logging::event_id::body_broken, {{"attempt", std::to_string(message.attempt.call)}});
        refuse_run({run, end_reason::body_damaged});
        return;
    }
    const bool handled =
        logging::contain(m_env.log, {"an arrival", message.attempt}, [&] { admit(fresh, run); });
    if (!handled) {
        break_off_arrival(run);
    }
}

void gate_service::state::admit(const call& fresh, std::uint64_t run) {
    if (!try_admit(fresh)) {
        static_cast<void>(forget(run));
        ++m_refused;
        return;
    }
    if (m_options.whole_chains && !fresh->is_admitted_below()) {
        refuse_run({run, end_reason::shed});
        return;
    }
    apply(m_table.arrive(run, fresh->head().service, fresh->head().context, m_clock.now()));
}

void gate_service::state::break_off_arrival(std::uint64_t run) {
    static_cast<void>(m_table.cancel(run));
    const auto known = forget(run);
    if (known) {
        ++m_failed;
        known->break_off_arrival();
    }
}

bool gate_service::state::try_admit(const call& fresh) {
    return fresh->check_crash_guard() && fresh->begin_execution();
}

gate_service::state::call gate_service::state::remember(const transport::frame& message,
                                                        transport::request_head head, std::uint64_t run) {
    const auto until = head.context.deadline + attempt_retention_after_deadline;
    auto fresh =
        std::make_shared<internal::gate_call>(m_env, run, message.sender, message.attempt, std::move(head));
    const std::scoped_lock lock(m_calls_mutex);
    if (!m_attempts.add(message.attempt, run, until)) {
        return nullptr;
    }
    m_calls.emplace(run, fresh);
    return fresh;
}

void gate_service::state::cancelled(const transport::frame& message) {
    const auto known = find(message.attempt);
    if (!known) {
        return;
    }
    ++m_cancelled;
    std::uint64_t run = 0;
    {
        const std::scoped_lock lock(m_calls_mutex);
        run = m_attempts.run_of(message.attempt).value_or(0);
    }
    if (m_table.cancel(run)) {
        refuse_run({run, end_reason::cancelled});
        return;
    }
    known->received(message.payload);
}

void gate_service::state::unsent(const core::attempt_id& attempt) {
    const auto known = find(attempt);
    if (known) {
        known->stop(end_reason::cancelled);
    }
}

void gate_service::state::failed(const transport::frame& message) {
    const auto known = find(message.attempt);
    if (!known) {
        refuse_unknown(message);
        return;
    }
    if (m_table.cancel(known->run_number())) {
        break_off_arrival(known->run_number());
        return;
    }
    known->break_off();
}

void gate_service::state::refuse_unknown(const transport::frame& message) {
    const auto* head = std::get_if<transport::request_head>(&message.payload);
    if (head == nullptr || has_arrived(message.attempt)) {
        return;
    }
    transport::frame reply;
    reply.attempt = message.attempt;
    reply.target = transport::frame_target::entry;
    transport::attempt_end end;
    end.run = core::verdict::may_have_run;
    end.reason = end_reason::backend_failed;
    end.detail = "an internal error broke the call off";
    reply.payload = std::move(end);
    reply.expires = transport::known_call_expiry(head->context.deadline, m_clock.now());
    m_env.sender.send({head->reply_address, message.sender}, std::move(reply));
}

bool gate_service::state::has_arrived(const core::attempt_id& attempt) const {
    const std::scoped_lock lock(m_calls_mutex);
    return m_attempts.run_of(attempt).has_value();
}

void gate_service::state::apply(const gate_changes& changes) {
    for (const auto& refused : changes.refused) {
        refuse_run(refused);
    }
    for (const auto run : changes.started) {
        const bool started =
            logging::contain(m_env.log, {"the start of a run"}, [this, run] { start_run(run); });
        if (!started) {
            logging::contain(m_env.log, {"the end of a start"}, [this, run] { break_off_start(run); });
        }
    }
}

void gate_service::state::start_run(std::uint64_t run) {
    const auto known = find(run);
    if (!known) {
        free_slot({concurrency::run_outcome::cancelled});
        return;
    }
    known->start(
        [self = shared_from_this(), run](const internal::run_report& report) { self->ended(run, report); });
}

void gate_service::state::break_off_start(std::uint64_t run) {
    const auto known = forget(run);
    if (known) {
        ++m_failed;
        known->break_off_arrival();
        free_slot({concurrency::run_outcome::cancelled});
    }
}

void gate_service::state::free_slot(const internal::run_report& report) {
    apply(m_table.finish(report.outcome, report.service_time, m_clock.now()));
}

void gate_service::state::refuse_run(const refusal& refused) {
    const auto known = forget(refused.run);
    if (known) {
        ++m_refused;
        m_shed += refused.reason == end_reason::shed ? 1 : 0;
        known->refuse(refused.reason);
    }
}

void gate_service::state::ended(std::uint64_t run, const internal::run_report& report) {
    static_cast<void>(forget(run));
    ++(report.answered ? m_answered : m_failed);
    if (report.outcome == concurrency::run_outcome::refused) {
        ++m_server_refused;
    }
    if (report.broken) {
        logging::contain(m_env.log, {"a probe of the backend server"},
                         [this] { probe_backend(probes_after_abort); });
    }
    free_slot(report);
}

gate_service::state::call gate_service::state::find(const core::attempt_id& attempt) const {
    const std::scoped_lock lock(m_calls_mutex);
    const auto run = m_attempts.run_of(attempt);
    if (!run) {
        return nullptr;
    }
    const auto known = m_calls.find(*run);
    return known == m_calls.end() ? nullptr : known->second;
}

gate_service::state::call gate_service::state::find(std::uint64_t run) const {
    const std::scoped_lock lock(m_calls_mutex);
    const auto known = m_calls.find(run);
    return known == m_calls.end() ? nullptr : known->second;
}

gate_service::state::call gate_service::state::forget(std::uint64_t run) {
    const std::scoped_lock lock(m_calls_mutex);
    const auto known = m_calls.find(run);
    if (known == m_calls.end()) {
        return nullptr;
    }
    auto gone = std::move(known->second);
    m_calls.erase(known);
    return gone;
}

bool gate_service::state::announce(const backend_server& server) {
    bool crashed = false;
    {
        // NOTE: announcements queued while the daemon was paused are read by several threads, in any order.
        const std::scoped_lock lock(m_announce_mutex);
        if (!server.instance.empty() && server.instance == m_previous_instance) {
            return false;
        }
        const auto before = m_table.backend();
        if (before && is_restart(*before, server)) {
            m_previous_instance = before->instance;
            crashed = !m_withdrawn;
        }
        const auto now = m_clock.now();
        m_backend_silence.heard(now);
        m_withdrawn = false;
        static_cast<void>(m_table.announce(server, now));
    }
    if (crashed) {
        m_env.crashes.report_backend_crash();
    }
    return true;
}

void gate_service::state::probe_backend(unsigned probes) {
    const auto server = m_table.backend();
    if (!server || m_withdrawn || m_probing.exchange(true)) {
        return;
    }
    auto probe = m_pool.make(server->address);
    const auto endpoint = internal::parse_endpoint(server->address);
    probe->socket.async_connect(
        endpoint, [self = shared_from_this(), probe, probes](const boost::system::error_code& refused) {
            self->m_probing = false;
            self->probed(static_cast<bool>(refused), probes - 1);
        });
}

void gate_service::state::probed(bool refused, unsigned probes_left) {
    if (refused && !m_withdrawn) {
        m_env.crashes.report_backend_crash();
        apply(m_table.withdraw());
        return;
    }
    if (refused || probes_left == 0) {
        return;
    }
    // NOTE: an exiting process closes its sockets one by one, and its listening socket may be the last.
    auto timer = std::make_shared<boost::asio::steady_timer>(m_timer.get_executor(), probe_pause);
    timer->async_wait(
        [self = shared_from_this(), timer, probes_left](const boost::system::error_code& failure) {
            if (!failure && !self->m_stopped) {
                self->probe_backend(probes_left);
            }
        });
}

void gate_service::state::withdraw() {
    m_withdrawn = true;
    apply(m_table.withdraw());
}

bool gate_service::state::leave(const std::string& instance, core::steady_time at) {
    const std::scoped_lock lock(m_announce_mutex);
    const auto known = m_table.backend();
    const bool is_other = known && !known->instance.empty() && known->instance != instance;
    if (!instance.empty() && is_other) {
        return false;
    }
    m_withdrawn = true;
    if (known && !known->instance.empty()) {
        m_previous_instance = known->instance;
    }
    m_table.leave_at(at);
    return true;
}

void gate_service::state::drain() {
    m_table.drain();
}

gate_counters gate_service::state::counters() const {
    const std::scoped_lock lock(m_calls_mutex);
    return {m_arrived, m_answered, m_refused, m_failed, m_cancelled, m_calls.size()};
}

void gate_service::state::tick_later() {
    m_tick_due = m_clock.now() + tick_interval;
    m_timer.expires_after(tick_interval);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& failure) {
        if (!failure && !self->m_stopped) {
            self->tick();
            self->tick_later();
        }
    });
}

void gate_service::state::tick() {
    const auto now = m_clock.now();
    const std::chrono::nanoseconds lag = now - m_tick_due;
    m_largest_lag = std::max(m_largest_lag, lag);
    // NOTE: each step is tried whatever becomes of the others, and the next tick comes in any case.
    const auto step = [this](const auto& work) {
        logging::contain(m_env.log, {"a tick of the gate"}, work);
    };
    step([&] { apply(m_table.withdraw_if_left(now)); });
    step([&] { apply(m_table.tick(now, lag)); });
    step([&] { m_events.load_changed(m_load_watch.update(m_table.report(), now), m_classes); });
    step([&] { log_counts(now); });
    if (now < m_next_cleanup) {
        return;
    }
    m_next_cleanup = now + cleanup_interval;
    step([&] { forget_old_attempts(now); });
    step([&] { m_env.ledger.expire(); });
    step([&] { m_env.crashes.expire(); });
    step([&] { withdraw_if_silent(now); });
}

void gate_service::state::withdraw_if_silent(core::steady_time now) {
    const bool silent = m_backend_silence.look(now);
    if (silent && m_table.backend()) {
        withdraw();
    }
}

void gate_service::state::log_counts(core::steady_time now) {
    if (now < m_next_counts) {
        return;
    }
    m_next_counts = now + counts_interval;
    const internal::gate_interval total{m_arrived, m_answered, m_shed, m_server_refused,
                                        m_failed,  report(),   {}};
    m_events.counted({total.arrived - m_last_logged.arrived, total.answered - m_last_logged.answered,
                      total.shed - m_last_logged.shed, total.server_refused - m_last_logged.server_refused,
                      total.failed - m_last_logged.failed, total.load, std::exchange(m_largest_lag, {})});
    m_last_logged = total;
}

void gate_service::state::forget_old_attempts(core::steady_time now) {
    const std::scoped_lock lock(m_calls_mutex);
    m_attempts.forget(now, [this](std::uint64_t run) { return m_calls.contains(run); });
}

} // namespace monsoonlift::gate
