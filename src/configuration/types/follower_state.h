#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "store/backoff.h"

namespace monsoonlift::configuration {

/// Parameters of a configuration_follower.
struct follower_rule {
    std::size_t watchers_per_data_centre = 2;
    std::chrono::milliseconds watch_patience{25'000}; ///< How long one watch waits for a change.
    std::chrono::milliseconds call_patience{3000};    ///< Time-out of a list and of a pull from a peer.
    std::chrono::milliseconds role_check{2000};       ///< Interval at which the watchers are elected again.
    std::chrono::milliseconds store_check{600'000}; ///< Mean interval of each daemon's lists of the platform.
    std::chrono::milliseconds start_check{10'000};  ///< Same, while no configuration is in force.
    std::chrono::milliseconds pull_jitter{300};     ///< Upper bound of the random delay before a pull.
    std::chrono::milliseconds settle_time{3000}; ///< Time that peers have to report a higher revision if the
                                                 ///< platform does not answer after a start.
    std::chrono::milliseconds stuck_after{5000}; ///< A reported revision not adopted for this long is read
                                                 ///< from the platform.
    store::backoff_rule store_backoff{std::chrono::milliseconds(500), std::chrono::milliseconds(8000)};
};

/// A peer's report that it has a revision.
struct peer_offer {
    std::string admin_address;
    std::uint64_t revision = 0;
};

/// State of a configuration_follower besides the configuration in force.
struct follower_state {
    bool is_watcher = false;
    bool store_busy = false;      ///< A call to the platform is in progress.
    bool pull_busy = false;       ///< A pull from a peer is in progress.
    bool has_cursor = false;      ///< Whether `cursor` is valid; if not, a list comes before the next watch.
    std::uint64_t restores = 0;   ///< Restores of the platform's store that were noticed.
    std::uint64_t cursor = 0;     ///< The platform's revision up to which changes have been read.
    core::steady_time next_check; ///< Time of the next periodic list.
    core::steady_time retry_at;   ///< No call to the platform is made before this time.
    std::uint32_t store_failures = 0;
    std::uint64_t highest_offered = 0; ///< Highest revision that a peer reported since the last list.
    core::steady_time behind_since;    ///< When highest_offered rose above the revision in force.
    std::vector<peer_offer> offers;    ///< Peers to pull from.
    core::steady_time next_pull;       ///< No pull starts before this time.
    core::steady_time next_role_check;
};

/// A call to the platform.
enum class store_call { none, list, watch };

} // namespace monsoonlift::configuration
