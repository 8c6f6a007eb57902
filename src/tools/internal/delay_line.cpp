#include "tools/delay_line.h"

#include <algorithm>

namespace monsoonlift::tools {

delay_line::delay_line(const relay_options& options, std::uint64_t seed)
    : m_options(options), m_random(seed) {}

core::steady_time delay_line::due(core::steady_time now) {
    std::chrono::duration<double, std::micro> wait = m_options.delay;
    if (m_options.jitter.count() > 0) {
        wait += m_options.jitter * std::exponential_distribution<double>(1)(m_random);
    }
    if (std::bernoulli_distribution(m_options.stall_share)(m_random)) {
        wait += m_options.stall;
    }
    m_last = std::max(m_last, now + std::chrono::duration_cast<core::steady_time::duration>(wait));
    return m_last;
}

} // namespace monsoonlift::tools
