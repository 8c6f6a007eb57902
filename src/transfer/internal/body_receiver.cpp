#include "transfer/body_receiver.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::transfer {

namespace {

constexpr std::size_t max_chunk_bytes = 1024 * 1024;

} // namespace

body_receiver::body_receiver(std::uint32_t window) : m_window(std::max(window, 1U)) {}

void body_receiver::begin(std::string_view bytes) {
    m_digest.add(bytes);
}

std::uint32_t body_receiver::first_credit() {
    m_allowed = m_window;
    return m_window;
}

bool body_receiver::accept(const transport::body_chunk& chunk) {
    const bool valid = m_allowed > 0 && chunk.offset == m_digest.length() && !chunk.data.empty() &&
                       chunk.data.size() <= max_chunk_bytes;
    if (!valid) {
        return false;
    }
    --m_allowed;
    m_digest.add(chunk.data);
    return true;
}

std::uint32_t body_receiver::consumed() {
    ++m_consumed;
    if (m_consumed * 2 < m_window) {
        return 0;
    }
    const auto credit = std::exchange(m_consumed, 0);
    m_allowed += credit;
    return credit;
}

bool body_receiver::is_complete(const transport::body_total& total) const {
    return matches(m_digest.total(), total);
}

} // namespace monsoonlift::transfer
