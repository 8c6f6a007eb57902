/// Order of a backend server's announcements: detects those that arrive after a later one.
#pragma once

#include "core/types/departed_incarnation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::gate {

/// Position of one announcement among those of all incarnations of the backend server at one address.
struct announcement_position {
    std::string id;               ///< Name of the incarnation; the next incarnation may reuse it.
    std::uint64_t started_ms = 0; ///< Unix start time of the incarnation in ms; 0 if unknown.
    std::uint64_t sequence = 0;   ///< Increases with each announcement of one incarnation.
};

/// Whether both announcements come from the same incarnation.
[[nodiscard]] bool is_same_life(const std::optional<announcement_position>& known,
                                const announcement_position& offered);

/// Whether `offered` was sent before `newest`: by an earlier incarnation, or earlier by the same one. Guards
/// against heartbeats that a network partition delayed until the sender's successor had announced itself.
[[nodiscard]] bool is_superseded(const std::optional<announcement_position>& newest,
                                 const announcement_position& offered);

/// Whether `offered` comes from an incarnation that deregistered, or from an earlier one. An incarnation
/// never returns after its deregistration, whatever its sequence numbers. A deregistration without a start
/// time applies to incarnations of its name that started before it was received. Guards against heartbeats
/// that arrive after the deregistration, which has no sequence number.
[[nodiscard]] bool has_left(const std::vector<core::departed_incarnation>& departed,
                            const announcement_position& offered);

/// Whether a deregistration comes from an incarnation before that of `newest` and so doesn't apply to it. One
/// from a later incarnation that has not announced itself yet also ends that of `newest`, as both had the
/// same address.
[[nodiscard]] bool is_late_deregistration(const std::optional<announcement_position>& newest,
                                          const core::departed_incarnation& leaving);

} // namespace monsoonlift::gate
