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

/// Platform object of another daemon, as listed.
struct listed_member_object {
    std::string name;
    std::uint64_t version = 0;
    core::endpoint_id id; ///< Transport address and incarnation of the daemon that wrote the object.
};

/// Status of the member at an address according to this daemon's member table.
struct known_member {
    core::incarnation life;
    member_status status = member_status::alive;
    core::steady_time since; ///< When the member got its status.
};

/// Chooses the platform objects to remove: those of daemons that died or left without removing their object.
/// At most one is chosen per listing, and on average one daemon of the whole fleet lists per interval, so
/// removals stay few. Not thread-safe.
class member_object_cleaner {
public:
    using known_member_source = std::function<std::optional<known_member>(const std::string& address)>;

    static constexpr std::chrono::minutes patience{5}; ///< Default of `gone_patience`.

    /// `gone_patience` is how long a member must have been dead or left, or an object must have belonged to a
    /// daemon that isn't in the member table, before the object may be removed.
    explicit member_object_cleaner(known_member_source find_known_member,
                                   std::chrono::milliseconds gone_patience = patience);

    /// Records that this process is running; call it at least once per second. After a gap of more than 2 s
    /// the process was paused and received nothing, so the time that other daemons have been gone restarts.
    void note_running(core::steady_time now);

    /// Returns the object to remove if it still has the listed version, or nothing.
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

    known_member_source m_find_known_member;
    std::chrono::milliseconds m_patience;
    std::map<std::string, unknown_object> m_unknown; ///< By object name.
    std::optional<core::steady_time> m_last_running; ///< Empty before the first call of note_running().
    core::steady_time m_counting_from = core::steady_time::min(); ///< End of the last pause of this process.
};

} // namespace monsoonlift::membership::internal
