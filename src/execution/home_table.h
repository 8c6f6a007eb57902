/// Homes of opaque and dated keys: for each slot of a service, the one gate that may run keys of that slot.
///
/// The table is stored in the platform object `homes/<service>`. A held slot changes its holder only by the
/// holder's own conditional write, by a later incarnation at the holder's address, or by an operator who
/// asserts that the holder's VM is destroyed (fence_holder()). There is no lease: a holder that was paused is
/// still the only holder, and while the platform is unavailable no slot changes its holder.
///
/// The holder records until when it may have received keys of the slot. The next holder refuses keys that the
/// earlier one may have received: dated keys issued until then, and opaque keys until their callers have
/// stopped resending.
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"
#include "execution/types/execution_key.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace monsoonlift::execution {

/// One slot of the home table.
struct home_slot {
    core::endpoint_id holder;   ///< Empty address: the slot is free.
    core::wall_time seen_until; ///< Earlier holders received no key of the slot after this; epoch: none.

    bool operator==(const home_slot&) const = default;
};

/// The home table of one service.
struct home_table {
    std::uint64_t version = 0; ///< Version of the object; 0 while it doesn't exist or isn't read.
    std::array<home_slot, home_slots> slots{};
};

/// A conditional write whose outcome isn't known yet.
struct pending_homes {
    std::uint64_t expected_version = 0; ///< The write takes effect only on this version.
    home_table proposed;
};

/// One gate's view of the home table of its service.
struct home_view {
    core::endpoint_id self;
    home_table table;
    std::optional<pending_homes> pending;
    std::array<core::wall_time, home_slots> last_begun{}; ///< When a slot's last key began here; epoch: none.
    std::array<core::wall_time, home_slots> last_opaque_begun{}; ///< The same for opaque keys only.
    std::chrono::milliseconds opaque_refusal_time{
        std::chrono::minutes(10)}; ///< How long a new holder refuses opaque keys.
};

/// Serializes a table as the value of the platform object.
[[nodiscard]] std::string write_homes(const home_table& table);

/// Parses a table from the value of the platform object; empty if it is malformed.
[[nodiscard]] std::optional<home_table> read_homes(std::string_view value, std::uint64_t version);

/// Adopts a table that was read, unless its version is not later than the current one. A pending write is
/// settled as soon as the object has a later version than the write expected.
void adopt(home_view& view, const home_table& read);

/// True if this gate holds the slot and no pending write gives it away.
[[nodiscard]] bool holds(const home_view& view, std::size_t slot);

/// True if a pending write changes the holder of the slot.
[[nodiscard]] bool is_changing(const home_view& view, std::size_t slot);

/// Returns the table that this gate should write; empty if nothing needs to change. The gate takes over the
/// slots of its own earlier incarnations and its share of the free slots. It gives away the slots above its
/// share, or all slots if it `leaves`. Unless it leaves, it keeps a slot whose recent opaque keys a new
/// holder would have to refuse until callers no longer resend them. `others` are the other gates of the
/// service that accept new requests.
[[nodiscard]] std::optional<home_table> propose(const home_view& view,
                                                const std::vector<core::endpoint_id>& others, bool leaves,
                                                core::wall_time now);

/// Makes `proposed` the pending write, so that this gate refuses the keys of the slots that it gives away;
/// call it before the write is sent.
void begin_write(home_view& view, const home_table& proposed);

/// Records that the pending write took effect and gave the object this version.
void confirm_write(home_view& view, std::uint64_t version);

/// Discards a pending write that certainly had no effect and never will have one.
void cancel_write(home_view& view);

/// Returns the table with all slots of `address` freed, for an operator who asserts that its VM is destroyed.
[[nodiscard]] home_table fence_holder(const home_table& table, std::string_view address, core::wall_time now);

} // namespace monsoonlift::execution
