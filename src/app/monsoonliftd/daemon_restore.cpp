// The part of daemon that reacts to a restore of the platform's store from a copy.
#include "app/monsoonliftd/daemon.h"

#include "store/http_target.h"

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <string>

namespace monsoonlift::app {

namespace {

using namespace std::chrono_literals;

/// Topic of the rumors by which daemons that call the store seldom learn of a restore. Topics 1 and 2 are
/// those of the execution module.
constexpr std::uint32_t restore_topic = 3;

/// Time over which the daemons check their objects, for each of them: 200 reads and at most as many writes a
/// second for the fleet.
constexpr std::chrono::milliseconds check_time_per_member = 5ms;
constexpr std::chrono::milliseconds shortest_check_time = 500ms;

} // namespace

void daemon::note_era(std::uint64_t era) {
    if (m_freshness) {
        m_freshness->note_era(era);
    }
}

void daemon::notice_restore(std::uint64_t era) {
    m_follower->on_store_restored();
    if (era > m_store_era) {
        m_membership->spread({restore_topic, std::to_string(era)});
    }
    take_store_era(era);
}

void daemon::take_rumor(const membership::rumor& received) {
    if (received.topic != restore_topic) {
        m_crashes.receive_rumor(received.topic, received.payload);
        return;
    }
    if (const auto era = store::parse_whole_number(received.payload)) {
        boost::asio::post(m_control, [this, era] { take_store_era(*era); });
    }
}

void daemon::take_store_era(std::uint64_t era) {
    if (era <= m_store_era) {
        return;
    }
    m_store_era = era;
    note_era(era);
    const auto members = m_directory.members().size();
    const auto check_time =
        std::max(shortest_check_time, check_time_per_member * static_cast<std::int64_t>(members));
    m_log.write(logging::event_id::store_restored,
                {{"era", std::to_string(era)},
                 {"in_force", std::to_string(m_configuration.revision())},
                 {"object_check_within_ms", std::to_string(check_time.count())}});
    m_membership->check_object_within(check_time);
    m_quota->note_store_restored();
}

} // namespace monsoonlift::app
