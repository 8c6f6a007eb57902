#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "membership/types/member.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace monsoonlift::membership::internal {

/// Another daemon's object as the platform listed it.
struct listed_member_object {
    std::string name;
    std::uint64_t version = 0;
    core::endpoint_id id; ///< Of the daemon that wrote it.
};

/// What this daemon's member table says of an address.
struct member_belief {
    core::incarnation life;
    member_status status = member_status::alive;
    core::steady_time since; ///< When it got its status.
};

/// Chooses the objects to remove: those of daemons that are dead or have left and didn't remove theirs. Each
/// listing gives one at most, and the fleet lists once in a while as a whole, so removals stay few. Not
/// thread-safe.
class member_object_cleaner {
public:
    using belief_source = std::function<std::optional<member_belief>(const std::string& address)>;

    static constexpr std::chrono::minutes patience{5}; ///< Unless the owner says otherwise.

    /// `gone_patience` is how long a member must have been gone, or an object must have been of nobody known.
    explicit member_object_cleaner(belief_source beliefs, std::chrono::milliseconds gone_patience = patience);

    /// Tells that this process runs; call it every second at least. After a longer gap, in which the process
    /// was paused and heard nobody, the time that others have been gone is counted anew.
    void awake(core::steady_time now);

    /// The object to remove by the version that was listed, or nothing.
    [[nodiscard]] std::optional<listed_member_object> choose(const std::vector<listed_member_object>& listed,
                                                             core::steady_time now, std::mt19937_64& random);

private:
    /// An object whose daemon isn't in the member table.
    struct unknown_object {
        std::uint64_t version = 0;
        core::steady_time first_seen;
    };

    [[nodiscard]] bool is_for_long(core::steady_time since, core::steady_time now) const;
    [[nodiscard]] bool is_unknown_for_long(const listed_member_object& object, core::steady_time now);
    void forget_unlisted(const std::vector<listed_member_object>& listed);

    belief_source m_beliefs;
    std::chrono::milliseconds m_patience;
    std::map<std::string, unknown_object> m_unknown; ///< By name.
    std::optional<core::steady_time> m_last_awake;   ///< Nothing before awake() is called.
    core::steady_time m_counting_from = core::steady_time::min();
};

} // namespace monsoonlift::membership::internal
