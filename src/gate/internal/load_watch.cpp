#include "gate/internal/load_watch.h"

namespace monsoonlift::gate::internal {

load_news load_watch::look(const routing::load_report& report, core::steady_time now) {
    load_news news;
    look_at_level(report.level, now, news);
    look_at_limit(report.limit, now, news);
    return news;
}

void load_watch::look_at_level(const admission::shed_level& level, core::steady_time now, load_news& news) {
    const bool is_strict = level != admission::shed_level{};
    if (is_strict) {
        m_last_strict = now;
    }
    if (is_strict && !m_overloaded) {
        m_overloaded = true;
        m_started = now;
        m_level = level;
        m_level_told = now;
        news.overload_started = level;
        return;
    }
    if (m_overloaded && now - m_last_strict >= calm) {
        m_overloaded = false;
        news.overload_lasted = m_last_strict - m_started;
        return;
    }
    if (is_strict && level.rank != m_level.rank && now - m_level_told >= calm) {
        news.threshold = threshold_move{m_level, level};
        m_level = level;
        m_level_told = now;
    }
}

void load_watch::look_at_limit(std::uint32_t limit, core::steady_time now, load_news& news) {
    if (m_limit == 0) {
        m_limit = limit;
        return;
    }
    const bool strong = limit >= 2 * m_limit || 2 * limit <= m_limit;
    if (!strong || now - m_limit_told < calm) {
        return;
    }
    news.limit = limit_change{m_limit, limit};
    m_limit = limit;
    m_limit_told = now;
}

} // namespace monsoonlift::gate::internal
