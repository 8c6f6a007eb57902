/// Records attempts that were answered not_run, so that a late copy of such an attempt is refused, not run.
///
/// An attempt is remembered until its expiry plus twice the clock skew: once one skew has passed, the copy is
/// refused as `held_up`; the second skew allows for a gate clock that is set back. An attempt dropped from
/// the record stays refused by a watermark of constant size: the highest covered call number of its origin,
/// or the latest covered expiry of the whole gate (the horizon).
#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace monsoonlift::execution {

/// One refused attempt; its entry is the key of the map that holds it.
struct refused_attempt {
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    core::wall_time expiry; ///< The same in every copy of the attempt.
};

/// Refused attempts of one entry.
struct origin_fence {
    std::vector<refused_attempt> refused; ///< Sorted by call, then by attempt.
    std::optional<std::uint64_t> covered; ///< Calls up to this number are refused; empty: none.
    core::wall_time latest;               ///< Latest expiry of any attempt refused for this origin.
};

/// Refused attempts of all entries; the memory is bounded for the gate as a whole.
struct attempt_fence {
    std::size_t most_attempts = 65'536; ///< Above it, the oldest calls of the largest origin are covered.
    std::size_t most_origins = 16'384;  ///< Above it, the horizon covers the origin that expires first.
    std::map<core::incarnation, origin_fence> origins;
    std::size_t attempts = 0; ///< Number of recorded attempts, summed over all origins.
    core::wall_time horizon = core::wall_time::min(); ///< Attempts that expire by then are refused.
};

/// Whether an attempt is refused: `refused` if it is recorded, `stale` if only a watermark covers it.
enum class fence_state : std::uint8_t { open, refused, stale };

/// Makes check() refuse every later copy of the attempt; `expiry` is the attempt's own expiry.
void refuse(attempt_fence& fence, const core::attempt_id& attempt, core::wall_time expiry);

/// Makes check() refuse every attempt that expires by then.
void cover(attempt_fence& fence, core::wall_time expiry);

/// Returns whether the attempt is refused.
[[nodiscard]] fence_state check(const attempt_fence& fence, const core::attempt_id& attempt,
                                core::wall_time expiry);

/// Removes attempts that expired more than twice the skew ago and frees their memory.
void expire(attempt_fence& fence, core::wall_time wall_now, std::chrono::milliseconds clock_skew);

} // namespace monsoonlift::execution
