/// Which announcements of a backend server are overtaken by later ones.
#pragma once

#include "core/types/departed_life.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::gate {

/// One announcement among those of all lives of the backend server at one address.
struct announcement_mark {
    std::string id;               ///< Name of the life; may be used by the next life again.
    std::uint64_t started_ms = 0; ///< Unix time of the life's start; 0 if it isn't told.
    std::uint64_t sequence = 0;   ///< Rises within one life.
};

/// Whether both are of one life.
[[nodiscard]] bool is_same_life(const std::optional<announcement_mark>& known,
                                const announcement_mark& offered);

/// Whether `offered` was sent before `newest`: by an earlier life, or earlier in the same life. Answers
/// heartbeats that a cut delayed and that arrive after their sender's successor has announced itself.
[[nodiscard]] bool is_overtaken(const std::optional<announcement_mark>& newest,
                                const announcement_mark& offered);

/// Whether `offered` comes from a life that left or from one before it. A life that leaves never comes
/// back, whatever its sequence numbers say. If the farewell told no start, a life of its name that started
/// before the farewell was heard is the one that leaves. Answers heartbeats that were delayed past the
/// farewell, which bears no number.
[[nodiscard]] bool has_left(const std::vector<core::departed_life>& departed,
                            const announcement_mark& offered);

/// Whether a farewell comes from a life before that of `newest`, which it says nothing about. One of a later
/// life, which has announced nothing yet, ends that of `newest` too: both had the same address.
[[nodiscard]] bool is_late_farewell(const std::optional<announcement_mark>& newest,
                                    const core::departed_life& leaving);

} // namespace monsoonlift::gate
