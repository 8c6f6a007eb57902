#include "configuration/freshness_holder.h"

#include "configuration/freshness_rules.h"

namespace monsoonlift::configuration {

freshness_holder::freshness_holder(std::chrono::milliseconds bound) : m_bound(bound) {}

void freshness_holder::note(const freshness_proof& proof) {
    const std::lock_guard lock(m_mutex);
    if (m_latest && proof.at <= m_latest->at) {
        return;
    }
    m_latest = proof;
    m_proven_at = proof.at.time_since_epoch().count();
}

std::optional<core::boot_time> freshness_holder::proven() const {
    const auto at = m_proven_at.load();
    return at == never ? std::nullopt : std::optional(core::boot_time(core::boot_clock::duration(at)));
}

std::optional<freshness_proof> freshness_holder::latest() const {
    const std::lock_guard lock(m_mutex);
    return m_latest;
}

bool freshness_holder::count_refusal(core::boot_time now) {
    const std::lock_guard lock(m_mutex);
    const bool begins = !m_is_refusing;
    if (begins) {
        m_is_refusing = true;
        m_refusing_since = now;
        m_refused_before = m_refused;
    }
    ++m_refused;
    return begins;
}

std::optional<refusal_series> freshness_holder::end_refusals(core::boot_time now) {
    const std::lock_guard lock(m_mutex);
    const auto proven = m_latest ? std::optional(m_latest->at) : std::nullopt;
    if (!m_is_refusing || !may_serve(proven, m_bound, now)) {
        return std::nullopt;
    }
    m_is_refusing = false;
    return refusal_series{m_refused - m_refused_before,
                          std::chrono::duration_cast<std::chrono::milliseconds>(now - m_refusing_since)};
}

} // namespace monsoonlift::configuration
