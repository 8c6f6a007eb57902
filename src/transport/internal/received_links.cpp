#include "transport/internal/received_links.h"

namespace monsoonlift::transport::internal {

namespace {

/// A link without a connection at two sweeps in a row is forgotten. Longer than a sender keeps frames to
/// write them again.
constexpr std::chrono::seconds sweep_interval = std::chrono::seconds(60);

/// Ranges of missing frames that are remembered; those of the oldest connections count as arrived.
constexpr std::size_t max_missing_ranges = 16;

} // namespace

bool received_link::note_arrival(std::uint64_t sequence) {
    if (sequence >= m_next) {
        if (sequence > m_next) {
            m_missing[m_next] = sequence - 1;
        }
        if (m_missing.size() > max_missing_ranges) {
            m_missing.erase(m_missing.begin());
        }
        m_next = sequence + 1;
        return true;
    }
    auto range = m_missing.upper_bound(sequence);
    if (range == m_missing.begin() || (--range)->second < sequence) {
        return false;
    }
    const auto [first, last] = *range;
    m_missing.erase(range);
    if (first < sequence) {
        m_missing[first] = sequence - 1;
    }
    if (sequence < last) {
        m_missing[sequence + 1] = last;
    }
    return true;
}

std::shared_ptr<received_link> received_links::open(core::incarnation sender, std::uint64_t link,
                                                    core::steady_time now) {
    const std::scoped_lock lock(m_mutex);
    auto& known = m_links[{sender, link}];
    if (!known.progress) {
        known.progress = std::make_shared<received_link>();
    }
    const auto opened = known.progress;
    if (now >= m_next_sweep) {
        m_next_sweep = now + sweep_interval;
        forget_unused();
    }
    return opened;
}

void received_links::forget_unused() {
    std::erase_if(m_links, [](const auto& entry) {
        return entry.second.was_unused && entry.second.progress.use_count() == 1;
    });
    for (auto& [key, known] : m_links) {
        known.was_unused = known.progress.use_count() == 1;
    }
}

} // namespace monsoonlift::transport::internal
