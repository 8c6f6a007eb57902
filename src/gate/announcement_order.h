/// Which announcements of a backend server are overtaken by later ones.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::gate {

/// One announcement among those of all lives of the backend server at one address.
struct announcement_mark {
    std::string id;               ///< Name of the life; may be used by the next life again.
    std::uint64_t started_ms = 0; ///< Unix time of the life's start; 0 if it isn't told.
    std::uint64_t sequence = 0;   ///< Rises within one life.
};

/// Whether `offered` was sent before `newest`: by an earlier life, or earlier in the same life. Answers
/// heartbeats that a cut delayed and that arrive after their sender's successor has announced itself.
[[nodiscard]] bool is_overtaken(const std::optional<announcement_mark>& newest,
                                const announcement_mark& offered);

/// A life that said that it leaves.
struct departed_life {
    std::string id;
    std::uint64_t started_ms = 0; ///< Unix time of its start; 0 if it isn't told.
};

/// Whether `offered` comes from the life that leaves or from one before it. A life that leaves never comes
/// back, whatever its sequence numbers say. Answers heartbeats that were delayed past the farewell, which
/// bears no number, and daemons that were started anew and know of nothing earlier.
[[nodiscard]] bool has_left(const std::optional<departed_life>& departed, const announcement_mark& offered);

/// Whether a farewell comes from a life before that of `newest`, which it says nothing about. One of a later
/// life, which has announced nothing yet, ends that of `newest` too: both had the same address.
[[nodiscard]] bool is_late_farewell(const std::optional<announcement_mark>& newest,
                                    const departed_life& leaving);

} // namespace monsoonlift::gate
