#include "execution/execution_ledger.h"

#include <algorithm>

namespace monsoonlift::execution {

execution_ledger::execution_ledger(const core::clock& clock, core::endpoint_id self, execution_limits limits)
    : m_clock(clock) {
    m_state.table.limits = limits;
    m_state.homes.self = std::move(self);
}

void execution_ledger::set_resend_window(std::chrono::milliseconds window) {
    const std::scoped_lock lock(m_mutex);
    m_state.table.limits.resend_window = window;
    m_state.homes.opaque_refusal_time = window + m_state.table.limits.clock_skew;
}

begin_decision execution_ledger::begin(const begin_request& request, std::uint64_t known_homes_version) {
    begin_decision decision;
    bool is_outdated = false;
    {
        const std::scoped_lock lock(m_mutex);
        is_outdated = known_homes_version > m_state.homes.table.version;
        decision = execution::begin(m_state, request, m_clock.now(), m_clock.wall_now());
    }
    if (is_outdated && m_on_homes_outdated) {
        m_on_homes_outdated();
    }
    if (decision.reason == begin_reason::home_unknown && m_on_home_unknown) {
        m_on_home_unknown();
    }
    return decision;
}

bool execution_ledger::mark_sent(const std::string& key) {
    const std::scoped_lock lock(m_mutex);
    return execution::mark_sent(m_state.table, key, m_clock.now());
}

void execution_ledger::abandon(const std::string& key) {
    const std::scoped_lock lock(m_mutex);
    execution::abandon(m_state.table, key);
}

void execution_ledger::finish_ran(const std::string& key, stored_answer answer) {
    const std::scoped_lock lock(m_mutex);
    execution::finish_ran(m_state.table, key, std::move(answer), m_clock.now());
}

void execution_ledger::finish_without_answer(const std::string& key, core::verdict verdict) {
    const std::scoped_lock lock(m_mutex);
    execution::finish_without_answer(m_state.table, key, verdict, m_clock.now());
}

void execution_ledger::finish_not_run(const std::string& key) {
    const std::scoped_lock lock(m_mutex);
    execution::finish_not_run(m_state.table, key);
}

void execution_ledger::refuse(const core::attempt_id& attempt, core::wall_time expiry) {
    const std::scoped_lock lock(m_mutex);
    execution::refuse(m_state.table.fence, attempt, expiry);
}

void execution_ledger::expire() {
    const std::scoped_lock lock(m_mutex);
    execution::expire(m_state.table, m_clock.now(), m_clock.wall_now());
}

execution_counts execution_ledger::counts() const {
    const std::scoped_lock lock(m_mutex);
    const auto& slots = m_state.homes.table.slots;
    const auto held = std::count_if(slots.begin(), slots.end(),
                                    [&](const home_slot& slot) { return slot.holder == m_state.homes.self; });
    return {m_state.table.records.size(), m_state.table.answer_bytes, static_cast<std::size_t>(held),
            m_state.homes.table.version};
}

void execution_ledger::on_homes_outdated(std::function<void()> handler) {
    m_on_homes_outdated = std::move(handler);
}

void execution_ledger::on_home_unknown(std::function<void()> handler) {
    m_on_home_unknown = std::move(handler);
}

home_table execution_ledger::homes() const {
    const std::scoped_lock lock(m_mutex);
    return m_state.homes.table;
}

void execution_ledger::adopt_homes(const home_table& read) {
    const std::scoped_lock lock(m_mutex);
    adopt(m_state.homes, read);
}

std::optional<pending_homes> execution_ledger::pending_write() const {
    const std::scoped_lock lock(m_mutex);
    return m_state.homes.pending;
}

std::optional<home_table> execution_ledger::begin_homes_write(const std::vector<core::endpoint_id>& others,
                                                              bool leaves) {
    const std::scoped_lock lock(m_mutex);
    if (m_state.homes.pending) {
        return std::nullopt;
    }
    const std::optional<home_table> proposed = propose(m_state.homes, others, leaves, m_clock.wall_now());
    if (proposed) {
        begin_write(m_state.homes, *proposed);
    }
    return proposed;
}

void execution_ledger::confirm_homes_write(std::uint64_t version) {
    const std::scoped_lock lock(m_mutex);
    confirm_write(m_state.homes, version);
}

void execution_ledger::cancel_homes_write() {
    const std::scoped_lock lock(m_mutex);
    cancel_write(m_state.homes);
}

} // namespace monsoonlift::execution
