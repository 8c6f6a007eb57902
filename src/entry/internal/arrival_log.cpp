#include "entry/internal/arrival_log.h"

#include <algorithm>

namespace monsoonlift::entry::internal {

void arrival_log::seen(std::size_t unread, core::steady_time now) {
    std::size_t known = 0;
    for (const auto& each : m_unread) {
        known += each.bytes;
    }
    if (unread > known) {
        m_unread.push_back({unread - known, now});
    }
}

void arrival_log::read(std::size_t bytes, core::steady_time now) {
    while (bytes > 0 && !m_unread.empty()) {
        auto& first = m_unread.front();
        const auto taken = std::min(bytes, first.bytes);
        add_buffered(taken, first.arrived);
        first.bytes -= taken;
        bytes -= taken;
        if (first.bytes == 0) {
            m_unread.erase(m_unread.begin());
        }
    }
    if (bytes > 0) {
        add_buffered(bytes, now);
    }
}

core::steady_time arrival_log::consume(std::size_t bytes, core::steady_time now) {
    auto arrived = m_buffered.empty() ? now : m_buffered.front().arrived;
    while (bytes > 0 && !m_buffered.empty()) {
        auto& first = m_buffered.front();
        const auto taken = std::min(bytes, first.bytes);
        arrived = first.arrived;
        first.bytes -= taken;
        bytes -= taken;
        if (first.bytes == 0) {
            m_buffered.erase(m_buffered.begin());
        }
    }
    return arrived;
}

void arrival_log::reset(std::size_t buffered, core::steady_time now) {
    m_unread.clear();
    m_buffered.clear();
    if (buffered > 0) {
        m_buffered.push_back({buffered, now});
    }
}

void arrival_log::add_buffered(std::size_t bytes, core::steady_time arrived) {
    if (!m_buffered.empty() && m_buffered.back().arrived == arrived) {
        m_buffered.back().bytes += bytes;
        return;
    }
    m_buffered.push_back({bytes, arrived});
}

} // namespace monsoonlift::entry::internal
