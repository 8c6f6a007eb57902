#include "gate/gate_table.h"

#include <algorithm>

namespace monsoonlift::gate {

namespace {

using namespace std::chrono_literals;
using transport::end_reason;

constexpr std::chrono::milliseconds min_retry_after = 50ms;
constexpr std::size_t max_waiting_in_order = 100'000;

concurrency::limit_bounds bounds_of(const backend_server& server) {
    return {std::max(server.slots, 1U), std::max(server.connections, 1U)};
}

bool is_same_incarnation(const std::optional<backend_server>& known, const backend_server& server) {
    return known && known->address == server.address && known->instance == server.instance;
}

} // namespace

gate_table::gate_table(bool decisions_on, bool whole_chains)
    : m_decisions_on(decisions_on), m_whole_chains(whole_chains) {
    if (whole_chains) {
        m_queue.order = admission::queue_order::by_position;
        m_overload.settings.watches_queue = true;
    }
}

bool gate_table::announce(const backend_server& server, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    if (m_backend == server) {
        return false;
    }
    const bool same_incarnation = is_same_incarnation(m_backend, server);
    const auto running = m_limit.running;
    if (same_incarnation) {
        m_limit.bounds = bounds_of(server);
    } else {
        m_limit = concurrency::cold_start(bounds_of(server), now,
                                          server.cold_for.value_or(concurrency::longest_ramp));
        m_limit.running = running;
        m_leaves_at = core::steady_time::max();
    }
    m_backend = server;
    m_allowed = concurrency::allowed(m_limit, now);
    return true;
}

void gate_table::leave_at(core::steady_time at) {
    const std::scoped_lock lock(m_mutex);
    m_leaves_at = std::min(m_leaves_at, at);
}

gate_changes gate_table::withdraw_if_left(core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    return m_backend && now >= m_leaves_at ? drop_backend() : gate_changes();
}

bool gate_table::may_reach(const backend_server& server, core::steady_time now) const {
    const std::scoped_lock lock(m_mutex);
    return is_same_incarnation(m_backend, server) && now < m_leaves_at;
}

gate_changes gate_table::withdraw() {
    const std::scoped_lock lock(m_mutex);
    return drop_backend();
}

gate_changes gate_table::drop_backend() {
    m_backend.reset();
    gate_changes changes;
    for (const auto& calls : m_queue.by_rank) {
        for (const auto& call : calls) {
            changes.refused.push_back({call.ticket, end_reason::no_backend});
        }
    }
    for (const auto run : m_in_order) {
        changes.refused.push_back({run, end_reason::no_backend});
    }
    m_queue.by_rank.clear();
    m_queue.length = 0;
    m_in_order.clear();
    return changes;
}

void gate_table::drain() {
    const std::scoped_lock lock(m_mutex);
    m_draining = true;
}

gate_changes gate_table::arrive(std::uint64_t run, const std::string& service,
                                const core::call_context& context, core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    gate_changes changes;
    const auto reason = reason_to_refuse(service, context, now);
    if (m_decisions_on) {
        admission::record_arrival(m_overload, context, !reason);
    }
    if (reason) {
        changes.refused.push_back({run, *reason});
        return changes;
    }
    if (!m_decisions_on) {
        m_in_order.push_back(run);
        start_in_order(changes);
        return changes;
    }
    changes.started.reserve(1);
    if (m_queue.length == 0 && concurrency::try_acquire(m_limit, now)) {
        admission::record_empty_queue(m_overload);
        admission::record_wait(m_overload, std::chrono::nanoseconds::zero(), now);
        changes.started.push_back(run);
        return changes;
    }
    admission::waiting_call call;
    call.ticket = run;
    call.rank = context.rank;
    call.depth = context.depth;
    call.arrived = now;
    call.deadline = context.deadline;
    call.order = m_whole_chains ? admission::order_of(context) : 0;
    refuse_unserved(admission::push(m_queue, call, now), changes);
    start_by_class(changes, now);
    return changes;
}

gate_changes gate_table::finish(concurrency::run_outcome outcome, std::chrono::nanoseconds service_time,
                                core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    gate_changes changes;
    concurrency::release(m_limit, outcome, service_time, now);
    admission::record_service(m_overload, concurrency::typical_service(m_limit));
    start_waiting(changes, now);
    return changes;
}

bool gate_table::cancel(std::uint64_t run) {
    const std::scoped_lock lock(m_mutex);
    return admission::remove(m_queue, run) || std::erase(m_in_order, run) > 0;
}

gate_changes gate_table::tick(core::steady_time now, std::chrono::nanoseconds lateness) {
    const std::scoped_lock lock(m_mutex);
    gate_changes changes;
    m_allowed = concurrency::allowed(m_limit, now);
    if (!m_decisions_on) {
        return changes;
    }
    admission::record_queue(m_overload, m_queue.length);
    admission::record_lateness(m_overload, lateness);
    admission::tick(m_overload, now);
    refuse_unserved(admission::expire(m_queue, concurrency::typical_service(m_limit), now), changes);
    if (m_whole_chains) {
        take_outcome(admission::shed(m_queue, m_overload.level), changes);
    }
    start_by_class(changes, now);
    return changes;
}

routing::load_report gate_table::report() const {
    const std::scoped_lock lock(m_mutex);
    const auto waiting = m_queue.length + m_in_order.size();
    return {m_overload.level, m_limit.running, static_cast<std::uint32_t>(waiting),
            std::min(m_allowed, static_cast<std::uint32_t>(m_limit.limit))};
}

std::chrono::milliseconds gate_table::retry_after() const {
    const std::scoped_lock lock(m_mutex);
    const auto service = concurrency::typical_service(m_limit);
    return std::max(min_retry_after, std::chrono::duration_cast<std::chrono::milliseconds>(service));
}

std::optional<backend_server> gate_table::backend() const {
    const std::scoped_lock lock(m_mutex);
    return m_backend;
}

bool gate_table::is_draining() const {
    const std::scoped_lock lock(m_mutex);
    return m_draining;
}

std::optional<end_reason> gate_table::reason_to_refuse(const std::string& service,
                                                       const core::call_context& context,
                                                       core::steady_time now) {
    if (m_draining) {
        return end_reason::draining;
    }
    if (!m_backend || now >= m_leaves_at) {
        return end_reason::no_backend;
    }
    if (m_backend->service != service) {
        return end_reason::wrong_service;
    }
    if (!m_decisions_on) {
        return m_in_order.size() < max_waiting_in_order ? std::nullopt : std::optional(end_reason::shed);
    }
    if (!admission::admits(m_overload.level, context)) {
        return end_reason::shed;
    }
    return std::nullopt;
}

void gate_table::take_outcome(const admission::queue_outcome& outcome, gate_changes& changes) {
    for (const auto& call : outcome.refused) {
        changes.refused.push_back({call.ticket, end_reason::shed});
    }
}

void gate_table::refuse_unserved(const admission::queue_outcome& outcome, gate_changes& changes) {
    admission::record_unserved(m_overload, outcome.refused.size());
    take_outcome(outcome, changes);
}

void gate_table::start_waiting(gate_changes& changes, core::steady_time now) {
    if (m_decisions_on) {
        start_by_class(changes, now);
    } else {
        start_in_order(changes);
    }
}

void gate_table::start_in_order(gate_changes& changes) {
    while (!m_in_order.empty() && m_limit.running < m_limit.bounds.slots) {
        changes.started.push_back(m_in_order.front());
        ++m_limit.running;
        m_in_order.pop_front();
    }
}

void gate_table::start_by_class(gate_changes& changes, core::steady_time now) {
    while (m_queue.length > 0 && concurrency::try_acquire(m_limit, now)) {
        auto outcome = admission::pop(m_queue, concurrency::typical_service(m_limit), now);
        if (!m_whole_chains) {
            for (const auto& call : outcome.refused) {
                admission::record_wait(m_overload, now - call.arrived, now);
            }
        }
        const auto next = outcome.next;
        refuse_unserved(outcome, changes);
        if (!next) {
            --m_limit.running;
            return;
        }
        admission::record_wait(m_overload, now - next->arrived, now);
        changes.started.push_back(next->ticket);
    }
}

} // namespace monsoonlift::gate
