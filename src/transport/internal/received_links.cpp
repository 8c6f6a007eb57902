#include "transport/internal/received_links.h"

namespace monsoonlift::transport::internal {

namespace {

/// A link without a connection at two sweeps in a row is forgotten. Longer than a sender keeps frames to
/// write them again.
constexpr std::chrono::seconds sweep_interval = std::chrono::seconds(60);

} // namespace

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
