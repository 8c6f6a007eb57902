#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::execution {

/// Slots of the table of homes, the same for every service.
inline constexpr std::size_t home_slots = 64;

/// How a key is bound to the one gate that may run it.
enum class key_kind : std::uint8_t {
    opaque, ///< A caller's own text: bound to the home of its slot.
    dated,  ///< A UUID of version 7: the same, and its time of issue is known.
    permit, ///< Names its gate.
    attempt ///< Made here for a request without a key: bound to the gate of its attempt.
};

/// A key, taken apart.
struct execution_key {
    std::string text;
    key_kind kind = key_kind::opaque;
    std::optional<core::wall_time> issued; ///< Of dated keys and permits.
    std::optional<core::endpoint_id> gate; ///< Of permits.
};

/// Reads a caller's key; nothing if it begins like a permit and is no whole one.
[[nodiscard]] std::optional<execution_key> parse_key(std::string_view text);

/// The key of a non-idempotent request that came without one.
[[nodiscard]] execution_key key_of_attempt(const core::attempt_id& attempt);

/// A permit for `gate`, unique by the issuing daemon's incarnation and counter.
[[nodiscard]] std::string make_permit(const core::endpoint_id& gate, core::incarnation issuer,
                                      std::uint64_t counter, core::wall_time issued);

/// Slot of a key in the table of homes.
[[nodiscard]] std::size_t slot_of(std::string_view key);

} // namespace monsoonlift::execution
