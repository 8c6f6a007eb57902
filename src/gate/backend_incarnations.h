/// Decides which incarnation of the backend server may receive work. Heartbeats and deregistrations may
/// arrive late, twice or not at all, and the daemon's own process may have started after the deregistration.
#pragma once

#include "core/clock.h"
#include "core/types/departed_incarnation.h"
#include "gate/announcement_order.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace monsoonlift::gate {

/// What one daemon process knows about the incarnations of its backend server.
struct backend_incarnations {
    std::optional<announcement_position> newest;      ///< Latest announcement received.
    std::vector<core::departed_incarnation> departed; ///< Latest deregistrations, at most one for each name.
    bool serves = false;           ///< Whether the incarnation of `newest` may receive work.
    bool is_history_known = false; ///< Earlier deregistrations are known or no longer awaited.
    std::optional<core::steady_time> waiting_since; ///< First announcement by `newest`'s waiting incarnation.
};

/// While earlier deregistrations are unknown, an incarnation receives work once two of its announcements
/// have arrived at least this far apart. Guards against a delayed heartbeat whose sender has deregistered
/// with an earlier daemon process while the platform that stores the deregistration is unavailable.
inline constexpr std::chrono::milliseconds min_confirmation_time{1000};

/// Effect of an announcement or a deregistration.
enum class announcement_effect : std::uint8_t {
    late,   ///< Out of date: no change for the current incarnation.
    again,  ///< No change: still serving, or already known to have left.
    opens,  ///< The incarnation may receive work from now on.
    waits,  ///< The incarnation receives work after `min_confirmation_time`, or once earlier deregistrations
            ///< are known.
    leaves, ///< No incarnation may receive work from now on.
};

/// Handles a heartbeat of a backend server that accepts work.
[[nodiscard]] announcement_effect
on_ready_heartbeat(backend_incarnations& lives, const announcement_position& offered, core::steady_time now);

/// Handles a heartbeat of a backend server that is about to stop, received at Unix time `received_ms`. One
/// that is late changes nothing for the newest incarnation; unless both have the same name, its leaving is
/// recorded. Acknowledge it only if has_left() holds for it afterwards.
[[nodiscard]] announcement_effect on_draining_heartbeat(backend_incarnations& lives,
                                                        const announcement_position& offered,
                                                        std::uint64_t received_ms);

/// Handles a deregistration, which has no sequence number and possibly no start time. One from an incarnation
/// before the newest only gets recorded, as late heartbeats of that incarnation may still arrive.
[[nodiscard]] announcement_effect on_deregistration(backend_incarnations& lives,
                                                    const core::departed_incarnation& leaving);

/// Adds the deregistrations that earlier processes of the daemon stored.
[[nodiscard]] announcement_effect
add_earlier_deregistrations(backend_incarnations& lives,
                            const std::vector<core::departed_incarnation>& departed);

} // namespace monsoonlift::gate
