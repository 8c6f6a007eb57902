#include "membership/internal/member_object_cleaner.h"

#include <algorithm>
#include <utility>

namespace monsoonlift::membership::internal {

namespace {

/// After a longer gap between two calls of note_running() the process is taken to have been paused.
constexpr std::chrono::seconds pause_gap{2};

/// Member tables of connected daemons converge within this time, so a running daemon is in the table after
/// it.
constexpr std::chrono::seconds shortest_unknown{30};

bool is_gone(const known_member& known) {
    return known.status == member_status::dead || known.status == member_status::left;
}

} // namespace

member_object_cleaner::member_object_cleaner(known_member_source find_known_member,
                                             std::chrono::milliseconds gone_patience)
    : m_find_known_member(std::move(find_known_member)), m_patience(gone_patience) {}

void member_object_cleaner::note_running(core::steady_time now) {
    if (m_last_running && now - *m_last_running > pause_gap) {
        m_counting_from = now;
    }
    m_last_running = now;
}

std::optional<listed_member_object>
member_object_cleaner::choose(const std::vector<listed_member_object>& listed, core::steady_time now,
                              std::mt19937_64& random) {
    if (m_last_running) {
        // NOTE: after a pause of the process this listing may arrive before the next tick.
        note_running(now);
    }
    forget_unlisted(listed);
    std::vector<listed_member_object> removable;
    std::size_t present = 1; // This daemon.
    std::size_t gone = 0;
    for (const auto& object : listed) {
        const auto known = m_find_known_member(object.id.address);
        if (!known) {
            if (is_unknown_for_long(object, now)) {
                removable.push_back(object);
            }
            continue;
        }
        m_unknown.erase(object.name);
        ++(is_gone(*known) ? gone : present);
        const bool is_not_later = object.id.life <= known->life;
        if (is_gone(*known) && is_not_later && is_for_long(known->since, now)) {
            removable.push_back(object);
        }
    }
    // NOTE: a daemon that considers most others dead may be on the small side of a partition itself.
    if (removable.empty() || gone > present) {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, removable.size() - 1);
    return removable[any(random)];
}

bool member_object_cleaner::is_unknown_for_long(const listed_member_object& object, core::steady_time now) {
    auto& noted = m_unknown[object.name];
    if (noted.version != object.version) {
        noted = {object.version, now};
    }
    return is_for_long(noted.first_seen, now) && now - noted.first_seen >= shortest_unknown;
}

bool member_object_cleaner::is_for_long(core::steady_time since, core::steady_time now) const {
    return now - std::max(since, m_counting_from) >= m_patience;
}

void member_object_cleaner::forget_unlisted(const std::vector<listed_member_object>& listed) {
    std::erase_if(m_unknown, [&](const auto& noted) {
        return std::none_of(listed.begin(), listed.end(),
                            [&](const listed_member_object& object) { return object.name == noted.first; });
    });
}

} // namespace monsoonlift::membership::internal
