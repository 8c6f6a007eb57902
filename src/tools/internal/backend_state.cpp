#include "tools/backend_state.h"

#include <utility>

#include <boost/json.hpp>
#include <xxhash.h>

namespace monsoonlift::tools {

backend_state::backend_state(backend_options options, const core::clock& clock)
    : m_options(std::move(options)), m_clock(clock), m_started(clock.now()), m_slots(m_options.slots),
      m_random(m_options.seed) {}

fault_settings backend_state::faults() const {
    const std::lock_guard lock(m_mutex);
    return m_faults;
}

void backend_state::set_faults(fault_settings faults) {
    const std::lock_guard lock(m_mutex);
    m_faults = std::move(faults);
}

double backend_state::cold_factor() const {
    constexpr double factor_at_start = 5;
    const auto age = m_clock.now() - m_started;
    if (age >= m_options.cold_start) {
        return 1;
    }
    const double warm =
        std::chrono::duration<double>(age) / std::chrono::duration<double>(m_options.cold_start);
    return factor_at_start + (1 - factor_at_start) * warm;
}

std::chrono::nanoseconds backend_state::draw_service_time() {
    const std::lock_guard lock(m_mutex);
    std::chrono::duration<double> time = m_options.service_time;
    if (m_options.distribution == service_distribution::exponential) {
        time *= std::exponential_distribution<double>(1)(m_random);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time * cold_factor() * m_faults.slow_factor);
}

bool backend_state::draw_fail_fast() {
    const std::lock_guard lock(m_mutex);
    return m_faults.fail_fast > 0 && std::bernoulli_distribution(m_faults.fail_fast)(m_random);
}

void backend_state::count_arrival(const std::string& token) {
    ++m_counters.arrived;
    if (token.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_tokens.insert(XXH64(token.data(), token.size(), 0));
}

std::string backend_state::tokens_json() const {
    const std::lock_guard lock(m_mutex);
    return boost::json::serialize(boost::json::value_from(m_tokens));
}

void backend_state::count_run(const std::string& key) {
    ++m_counters.started;
    if (key.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    ++m_runs[key];
}

std::string backend_state::runs_json() const {
    const std::lock_guard lock(m_mutex);
    boost::json::object runs;
    for (const auto& [key, count] : m_runs) {
        runs[key] = count;
    }
    return boost::json::serialize(runs);
}

std::string backend_state::stats_json() const {
    boost::json::object stats;
    stats["service"] = m_options.service;
    stats["arrived"] = m_counters.arrived.load();
    stats["started"] = m_counters.started.load();
    stats["completed"] = m_counters.completed.load();
    stats["cancelled"] = m_counters.cancelled.load();
    stats["failed"] = m_counters.failed.load();
    stats["nested_failed"] = m_counters.nested_failed.load();
    stats["connections"] = m_counters.connections.load();
    stats["running"] = m_slots.running();
    stats["waiting"] = m_slots.waiting();
    return boost::json::serialize(stats);
}

void backend_state::sample_load() {
    const std::uint32_t running = m_slots.running();
    const std::size_t waiting = m_slots.waiting();
    const std::lock_guard lock(m_mutex);
    m_sampled_running = running;
    m_sampled_waiting = waiting;
}

std::string backend_state::load_json() const {
    const std::lock_guard lock(m_mutex);
    boost::json::object load;
    load["slots"] = m_options.slots;
    load["running"] = m_faults.lie ? 0 : m_sampled_running;
    load["waiting"] = m_faults.lie ? 0 : m_sampled_waiting;
    return boost::json::serialize(load);
}

} // namespace monsoonlift::tools
