/// Which start of the backend server may get work. Its heartbeats and farewells come late, twice or not at
/// all, and the daemon's own process may have started after the farewell.
#pragma once

#include "core/clock.h"
#include "core/types/departed_life.h"
#include "gate/announcement_order.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace monsoonlift::gate {

/// What one process of the daemon knows of the backend server's starts.
struct backend_lives {
    std::optional<announcement_mark> newest;      ///< Latest announcement heard.
    std::vector<core::departed_life> departed;    ///< Said that they leave; the latest, one of each name.
    bool serves = false;                          ///< The life of `newest` may get work.
    bool is_past_settled = false;                 ///< No farewell that an earlier process heard is unknown.
    std::optional<core::steady_time> waits_since; ///< When the life of `newest` was first heard, if it waits.
};

/// A life whose past isn't known serves once it was heard twice, this far apart. Answers a heartbeat that was
/// delayed past its sender's farewell, which an earlier process heard, while the platform can't tell of it.
inline constexpr std::chrono::milliseconds proof_of_life{1000};

/// What an announcement changes.
enum class announcement_effect : std::uint8_t {
    late,   ///< Nothing for the life that serves or waits: it was overtaken.
    again,  ///< Nothing new: the life goes on, or its leaving is known.
    opens,  ///< The life may get work from now on.
    waits,  ///< The life gets work once it has proved that it lives, or the past is known.
    leaves, ///< No life may get work from now on.
};

/// A heartbeat of a backend server that wants work.
[[nodiscard]] announcement_effect hear_ready(backend_lives& lives, const announcement_mark& offered,
                                             core::steady_time now);

/// A heartbeat of a backend server that is about to leave, heard at `heard_ms` of Unix time.
[[nodiscard]] announcement_effect hear_draining(backend_lives& lives, const announcement_mark& offered,
                                                std::uint64_t heard_ms);

/// A farewell, which bears no sequence number and may tell no start. One of a life that is not the newest is
/// remembered, as its late heartbeats may come, and changes nothing for the newest.
[[nodiscard]] announcement_effect hear_farewell(backend_lives& lives, const core::departed_life& leaving);

/// The farewells that earlier processes of the daemon remembered.
[[nodiscard]] announcement_effect learn_past(backend_lives& lives,
                                             const std::vector<core::departed_life>& departed);

} // namespace monsoonlift::gate
