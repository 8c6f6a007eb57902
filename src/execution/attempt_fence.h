/// Attempts that were answered not_run stay refused: a copy that arrives late must not run.
///
/// An attempt is remembered until its expiry plus twice the clock skew: from one skew on the copy is refused
/// as held up, and the second allows for a gate's clock that is set back. Whatever is dropped stays refused,
/// by a cover that takes no memory: a number of calls of its origin, or an expiry for the whole gate.
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

/// A refused attempt of one entry.
struct refused_attempt {
    std::uint64_t call = 0;
    std::uint32_t attempt = 0;
    core::wall_time expiry; ///< Every copy of an attempt carries the same one.
};

/// Refused attempts of one entry.
struct origin_fence {
    std::vector<refused_attempt> refused; ///< In order of call and attempt.
    std::optional<std::uint64_t> covered; ///< Calls up to this one are all refused.
    core::wall_time latest;               ///< The largest expiry refused here.
};

/// Refused attempts of every entry, in memory that is bounded for the gate as a whole.
struct attempt_fence {
    std::size_t most_attempts = 65'536; ///< Beyond it the origin with most gets its oldest calls covered.
    std::size_t most_origins = 16'384;  ///< Beyond it the horizon covers the origin that expires first.
    std::map<core::incarnation, origin_fence> origins;
    std::size_t attempts = 0;                         ///< Of all origins.
    core::wall_time horizon = core::wall_time::min(); ///< What expires up to then is all refused.
};

/// What the fence says of an attempt.
enum class fence_state : std::uint8_t { open, refused, stale };

/// Refuses every later copy of the attempt, which expires at `expiry`.
void refuse(attempt_fence& fence, const core::attempt_id& attempt, core::wall_time expiry);

/// What is known of the attempt.
[[nodiscard]] fence_state check(const attempt_fence& fence, const core::attempt_id& attempt,
                                core::wall_time expiry);

/// Gives back the memory of attempts whose expiry is past by more than twice the skew.
void expire(attempt_fence& fence, core::wall_time wall_now, std::chrono::milliseconds clock_skew);

} // namespace monsoonlift::execution
