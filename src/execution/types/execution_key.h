#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::execution {

/// Number of slots of the home table, the same for every service.
inline constexpr std::size_t home_slots = 64;

/// How a key determines the one gate that may run it.
enum class key_kind : std::uint8_t {
    opaque, ///< Arbitrary text of the caller: run by the holder of the key's slot.
    dated,  ///< UUID version 7: as `opaque`, but with a time of issue.
    permit, ///< Issued by a daemon: contains the gate that may run it and a time of issue.
    attempt ///< Generated for a request without a key: run by the gate that receives it.
};

/// A parsed key.
struct execution_key {
    std::string text;
    key_kind kind = key_kind::opaque;
    std::optional<core::wall_time> issued; ///< Time of issue; set for dated keys and permits only.
    std::optional<core::endpoint_id> gate; ///< The gate that may run the key; set for permits only.
};

/// Parses a caller's key; empty if it starts like a permit but is malformed.
[[nodiscard]] std::optional<execution_key> parse_key(std::string_view text);

/// Returns the key for a non-idempotent request without one; the same for all attempts of a call.
[[nodiscard]] execution_key key_of_attempt(const core::attempt_id& attempt);

/// Returns a permit for `gate`, made unique by the issuing daemon's incarnation and counter.
[[nodiscard]] std::string make_permit(const core::endpoint_id& gate, core::incarnation issuer,
                                      std::uint64_t counter, core::wall_time issued);

/// Returns the slot of a key in the home table.
[[nodiscard]] std::size_t slot_of(std::string_view key);

} // namespace monsoonlift::execution
