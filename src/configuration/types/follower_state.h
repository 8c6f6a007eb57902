#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "store/backoff.h"

namespace monsoonlift::configuration {

/// Bounds of a follower.
struct follower_rule {
    std::size_t watchers_per_data_centre = 2;
    std::chrono::milliseconds watch_patience{25'000};
    std::chrono::milliseconds call_patience{3000};
    std::chrono::milliseconds role_check{2000};     ///< How often the watchers are elected anew.
    std::chrono::milliseconds store_check{600'000}; ///< How often each daemon looks at the platform itself.
    std::chrono::milliseconds start_check{10'000};  ///< The same while it knows no configuration.
    std::chrono::milliseconds pull_jitter{300};
    std::chrono::milliseconds settle_time{3000}; ///< After a start without the platform.
    std::chrono::milliseconds stuck_after{5000}; ///< Then the platform is asked instead of peers.
    store::backoff_rule store_backoff{std::chrono::milliseconds(500), std::chrono::milliseconds(8000)};
};

/// A peer that has a higher revision.
struct peer_offer {
    std::string admin_address;
    std::uint64_t revision = 0;
};

/// What a follower knows besides the configuration in force.
struct follower_state {
    bool is_watcher = false;
    bool store_busy = false;
    bool pull_busy = false;
    bool has_cursor = false;
    std::uint64_t cursor = 0;     ///< The platform's revision that has been seen.
    core::steady_time next_check; ///< When to look at the platform without a reason.
    core::steady_time retry_at;   ///< No call to the platform before.
    std::uint32_t store_failures = 0;
    std::uint64_t heard = 0;        ///< The highest revision that a peer spoke of.
    core::steady_time behind_since; ///< When that became higher than the one in force.
    std::vector<peer_offer> offers;
    core::steady_time next_pull;
    core::steady_time next_role_check;
};

/// The next call to the platform.
enum class store_call { none, list, watch };

} // namespace monsoonlift::configuration
