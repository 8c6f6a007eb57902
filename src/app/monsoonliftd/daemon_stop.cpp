// The part of daemon that carries out a planned stop.
#include "app/monsoonliftd/daemon.h"

#include "app/monsoonliftd/daemon_options.h"
#include "core/go_on.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <utility>

namespace monsoonlift::app {

namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds idle_check_interval = 50ms;

/// Share of the platform's stop bound after which calls still in flight are aborted, so that the process can
/// end in order within the bound.
constexpr double platform_stop_share = 0.94;

/// Share of the stop bound after which the process ends though callers are still being answered. What is left
/// of the bound covers a process that is given the processor late.
constexpr double platform_end_share = 0.96;

constexpr std::chrono::milliseconds platform_leave_timeout = 300ms;

/// How long a daemon that has not joined answers its callers before it begins again.
constexpr std::chrono::milliseconds early_callers_timeout = 500ms;

/// The platform polls the daemon's readiness once per second and stops sending callers after two refusals.
constexpr std::chrono::milliseconds platform_calls_after_stop = 2500ms;

/// Longest time that a planned stop waits for the homes of idempotency keys to be handed over to other gates;
/// during an outage of the platform they can't be.
constexpr std::chrono::milliseconds hand_over_timeout = 5000ms;

} // namespace

void daemon::record_turns() {
    lifecycle::note_turn(m_turns, m_clock.now());
    m_scheduler.after(lifecycle::turn_interval, [this] { record_turns(); });
}

void daemon::stop_gracefully() {
    core::run_then([this] { m_log.write(logging::event_id::process_stopping, {}); },
                   [this] { m_lifecycle.handle(lifecycle::signal::stop_requested); });
}

void daemon::take_later_incarnation(const membership::member& later) {
    if (membership::is_predecessor(later, m_settings.name)) {
        m_predecessor = later.id.life;
    }
    const bool has_served = m_phase != lifecycle::phase::starting && m_phase != lifecycle::phase::joining;
    if (has_served || !m_predecessor) {
        stop_gracefully();
        return;
    }
    // NOTE: callers come before the daemon is ready; until it has joined, no gate has their calls.
    m_entry.refuse_all_calls();
    m_entry.cancel_all_attempts();
    m_end_deadline = m_clock.now() + early_callers_timeout;
    end_once_answered();
}

void daemon::on_phase_entered(lifecycle::phase now) {
    m_phase = now;
    if (now == lifecycle::phase::draining) {
        drain();
    }
    if (now == lifecycle::phase::stopped) {
        leave();
    }
}

void daemon::drain() {
    core::run_then([this] { begin_drain(); }, [this] { wait_for_grace(); });
}

void daemon::begin_drain() {
    m_hand_over_deadline = m_clock.now() + hand_over_timeout;
    set_stop_deadlines();
    const std::array<std::function<void()>, 7> steps{
        [this] { m_log.write(logging::event_id::drain_started, {}); },
        [this] { m_drain_watch.begin(drain_time()); },
        [this] { m_membership->drain(); },
        [this] { m_quota->drain(); },
        [this] {
            m_homes->drain([this] { boost::asio::post(m_control, [this] { m_homes_handed_over = true; }); });
        },
        [this] { m_entry.close_connections_after_answers(); },
        [this] { refuse_unexpected_callers(); },
    };
    core::for_each_apart(steps, [](const auto& step) { step(); });
}

void daemon::wait_for_grace() {
    m_timer.expires_at(std::min(m_clock.now() + drain_grace_of(*m_current.get()), m_stop_deadline));
    m_timer.async_wait([this](const boost::system::error_code&) {
        core::run_then([this] { m_gate.drain(); }, [this] { wait_until_idle(); });
    });
}

void daemon::set_stop_deadlines() {
    if (!m_settings.deployment) {
        return;
    }
    // NOTE: the platform kills the process at the stop bound after it sent the signal, not after this process
    // took it.
    const auto arrived = lifecycle::earliest_arrival(m_turns, m_clock.now());
    m_callers_expected_until = arrived + platform_calls_after_stop;
    m_stop_deadline = arrived + share_of_stop_bound(platform_stop_share);
    m_end_deadline = arrived + share_of_stop_bound(platform_end_share);
    m_entry.end_calls_at(m_stop_deadline);
}

std::chrono::milliseconds daemon::share_of_stop_bound(double share) const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_current.get()->deployment->stop_bound *
                                                                 share);
}

std::chrono::milliseconds daemon::drain_time() const {
    const auto rules = m_configuration.current();
    const auto backend = m_gate.backend();
    const auto* service = rules && backend ? configuration::find_service(*rules, backend->service) : nullptr;
    return service != nullptr ? service->drain_time : configuration::service_rule().drain_time;
}

void daemon::log_overdue_drain() {
    if (m_drain_watch.is_overdue()) {
        m_log.write(logging::event_id::drain_overdue,
                    {{"at_gate", std::to_string(m_gate.counters().in_flight)},
                     {"at_entry", std::to_string(m_entry.counters().in_flight)}});
    }
}

void daemon::refuse_unexpected_callers() {
    const bool callers_expected = !m_settings.deployment || m_clock.now() < m_callers_expected_until;
    if (callers_expected || std::exchange(m_refuses_callers, true)) {
        return;
    }
    // NOTE: the platform kills a process that stops too slowly, together with the calls it accepted last, so
    // new root calls are refused. New connections are still accepted: they may carry nested calls of requests
    // in flight here.
    m_entry.refuse_root_calls();
    m_entry.close_idle_connections();
}

void daemon::wait_until_idle() {
    m_timer.expires_after(idle_check_interval);
    m_timer.async_wait([this](const boost::system::error_code&) { check_idle(); });
}

void daemon::check_idle() {
    core::run_then([this] { finish_if_idle(); },
                   [this] {
                       if (m_phase == lifecycle::phase::draining) {
                           wait_until_idle();
                       }
                   });
}

void daemon::finish_if_idle() {
    // NOTE: requests in flight may still make nested calls, so the entry accepts until the gate is empty.
    const bool gate_idle = m_gate.counters().in_flight == 0;
    const bool callers_expected = m_settings.deployment && m_clock.now() < m_callers_expected_until;
    const bool homes_settled = m_homes_handed_over || m_clock.now() >= m_hand_over_deadline;
    const bool out_of_time = m_settings.deployment && m_clock.now() >= m_stop_deadline;
    refuse_unexpected_callers();
    if (gate_idle && !callers_expected) {
        m_entry.stop_accepting();
    }
    const bool is_busy = !gate_idle || callers_expected || !homes_settled || m_entry.counters().in_flight > 0;
    if (is_busy && !out_of_time) {
        log_overdue_drain();
        return;
    }
    core::run_then([&] { finish_drain(is_busy); },
                   [this] { m_lifecycle.handle(lifecycle::signal::nothing_in_flight); });
}

void daemon::finish_drain(bool is_busy) {
    const std::array<std::function<void()>, 4> steps{
        [this, is_busy] {
            m_log.write(logging::event_id::drain_finished,
                        {{"given_up", is_busy ? "yes" : "no"},
                         {"at_gate", std::to_string(m_gate.counters().in_flight)},
                         {"at_entry", std::to_string(m_entry.counters().in_flight)}});
        },
        // NOTE: a call taken from now on, or sent on once more, would be cut by the end of the process.
        [this] { m_entry.refuse_all_calls(); },
        [this] { m_entry.close_idle_connections(); },
        [this, is_busy] {
            if (is_busy) {
                m_entry.cancel_all_attempts();
            }
        },
    };
    core::for_each_apart(steps, [](const auto& step) { step(); });
}

void daemon::leave() {
    if (m_settings.deployment) {
        core::run_then([this] { m_membership->leave([] {}); }, [this] { end_later(); });
        return;
    }
    m_membership->leave([this] { boost::asio::post(m_control, [this] { end(); }); });
}

void daemon::end_later() {
    // NOTE: the store may be unavailable, so this doesn't wait for the member's object to be removed; the
    // next incarnation writes it anew.
    const auto time_left =
        std::chrono::duration_cast<std::chrono::milliseconds>(m_end_deadline - m_clock.now());
    m_scheduler.after(std::clamp(time_left, 0ms, platform_leave_timeout), [this] { end_once_answered(); });
}

void daemon::end_once_answered() {
    // NOTE: callers whose attempts were cancelled, or who called in these last moments, are being answered.
    const bool out_of_time = m_clock.now() >= m_end_deadline;
    if (m_entry.counters().in_flight == 0 || out_of_time) {
        end();
        return;
    }
    m_scheduler.after(idle_check_interval, [this] { end_once_answered(); });
}

void daemon::end() {
    if (std::exchange(m_has_ended, true)) {
        return;
    }
    core::run_then([this] { stop_parts(); }, [this] { m_io.stop(); });
}

void daemon::stop_parts() {
    const std::array<std::function<void()>, 8> steps{
        [this] { m_homes->stop(); },
        [this] { m_quota->stop(); },
        [this] {
            if (m_freshness) {
                m_freshness->stop();
            }
        },
        [this] { m_follower->stop(); },
        [this] { m_membership->stop(); },
        [this] { m_gate.stop(); },
        [this] { m_admin.stop(); },
        [this] {
            m_log.write(logging::event_id::process_stopped,
                        {{"at_entry", std::to_string(m_entry.counters().in_flight)}});
        },
    };
    core::for_each_apart(steps, [](const auto& step) { step(); });
}

} // namespace monsoonlift::app
