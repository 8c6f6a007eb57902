#include "gate/internal/load_watch.h"

namespace monsoonlift::gate::internal {

load_changes load_watch::update(const routing::load_report& report, core::steady_time now) {
    load_changes changes;
    update_level(report.level, now, changes);
    update_limit(report.limit, now, changes);
    return changes;
}

void load_watch::update_level(const admission::shed_level& level, core::steady_time now,
                              load_changes& changes) {
    const bool is_strict = level != admission::shed_level{};
    if (is_strict) {
        m_last_strict = now;
    }
    if (is_strict && !m_overloaded) {
        m_overloaded = true;
        m_started = now;
        m_reported_level = level;
        m_level_reported_at = now;
        changes.overload_started = level;
        return;
    }
    if (m_overloaded && now - m_last_strict >= quiet_period) {
        m_overloaded = false;
        changes.overload_lasted = m_last_strict - m_started;
        return;
    }
    if (is_strict && level.rank != m_reported_level.rank && now - m_level_reported_at >= quiet_period) {
        changes.threshold = threshold_move{m_reported_level, level};
        m_reported_level = level;
        m_level_reported_at = now;
    }
}

void load_watch::update_limit(std::uint32_t limit, core::steady_time now, load_changes& changes) {
    if (m_reported_limit == 0) {
        m_reported_limit = limit;
        return;
    }
    const bool strong = limit >= 2 * m_reported_limit || 2 * limit <= m_reported_limit;
    if (!strong || now - m_limit_reported_at < quiet_period) {
        return;
    }
    changes.limit = limit_change{m_reported_limit, limit};
    m_reported_limit = limit;
    m_limit_reported_at = now;
}

} // namespace monsoonlift::gate::internal
