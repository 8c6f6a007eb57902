/// Homes of plain keys: for each slot of a service, the one gate that may run keys of that slot.
///
/// The table lives in the platform object `homes/<service>`. A slot changes hands only by its holder's own
/// conditional write, by a later incarnation on the holder's address, or by an operator who asserts that the
/// holder's VM is destroyed (fence_holder()). There is no lease: a holder that was paused is still the only
/// one, and in an outage of the platform nothing moves.
///
/// The holder writes down until when it may have seen keys of the slot. The next holder refuses what could be
/// one of those: dated keys issued until then, and opaque keys until their callers have stopped resending.
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

/// One slot.
struct home_slot {
    core::endpoint_id holder;   ///< No address: nobody holds it.
    core::wall_time seen_until; ///< Earlier holders saw no key of the slot after this; the epoch: none ever.

    bool operator==(const home_slot&) const = default;
};

/// The table of one service.
struct home_table {
    std::uint64_t version = 0; ///< Of the object; 0 while it doesn't exist.
    std::array<home_slot, home_slots> slots{};
};

/// A conditional write whose outcome isn't known yet.
struct pending_homes {
    std::uint64_t expected_version = 0;
    home_table proposed;
};

/// What one gate knows of its service's homes.
struct home_view {
    core::endpoint_id self;
    home_table table;
    std::optional<pending_homes> pending;
    std::array<core::wall_time, home_slots> last_begun{}; ///< Last key of each slot that began here.
    std::array<core::wall_time, home_slots>
        last_opaque_begun{}; ///< The same for keys without a time of issue.
    std::chrono::milliseconds opaque_rest{
        std::chrono::minutes(10)}; ///< A new home refuses opaque keys this long.
};

/// The object's value for a table.
[[nodiscard]] std::string write_homes(const home_table& table);

/// The table in an object's value, or nothing if it is malformed.
[[nodiscard]] std::optional<home_table> read_homes(std::string_view value, std::uint64_t version);

/// Takes in a table that was read; an earlier version than the one known is ignored. A pending write is
/// settled as soon as the object has a later version than the write expected.
void adopt(home_view& view, const home_table& read);

/// True if this gate holds the slot and isn't about to give it away.
[[nodiscard]] bool holds(const home_view& view, std::size_t slot);

/// True if the slot is in a write whose outcome isn't known.
[[nodiscard]] bool is_changing(const home_view& view, std::size_t slot);

/// The table as this gate would have it: it takes over slots of its own earlier lives and its share of the
/// free ones, and gives away what is beyond its share, or all if it leaves. A slot whose opaque keys the new
/// home would have to refuse is kept until they rest, unless the gate leaves. Nothing if it is content.
/// `others` are the other gates of the service that take new work.
[[nodiscard]] std::optional<home_table> propose(const home_view& view,
                                                const std::vector<core::endpoint_id>& others, bool leaves,
                                                core::wall_time now);

/// From now on slots that `proposed` gives away are refused here; call it before the write is sent.
void begin_write(home_view& view, const home_table& proposed);

/// The write took effect and gave the object this version.
void confirm_write(home_view& view, std::uint64_t version);

/// The write surely had no effect and never will.
void cancel_write(home_view& view);

/// Frees every slot of an address, for an operator who asserts that its VM is destroyed.
[[nodiscard]] home_table fence_holder(const home_table& table, std::string_view address, core::wall_time now);

} // namespace monsoonlift::execution
