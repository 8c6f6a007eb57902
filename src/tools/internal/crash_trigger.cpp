#include "tools/internal/crash_trigger.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace monsoonlift::tools::internal {

namespace {

constexpr int crash_exit_code = 70;

} // namespace

crash_trigger::crash_trigger(std::string marker) : m_marker(std::move(marker)) {}

void crash_trigger::scan(std::span<const char> bytes) {
    if (m_marker.empty()) {
        return;
    }
    m_tail.append(bytes.begin(), bytes.end());
    if (m_tail.find(m_marker) != std::string::npos) {
        std::_Exit(crash_exit_code);
    }
    m_tail.erase(0, m_tail.size() - std::min(m_tail.size(), m_marker.size() - 1));
}

} // namespace monsoonlift::tools::internal
