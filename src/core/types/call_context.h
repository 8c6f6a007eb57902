#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::core {

/// Position of a call class in the order configured by the operators; calls of rank 0 are shed last.
using class_rank = std::uint8_t;

/// Context of a call, which is passed on to every nested call. Budgets only shrink along the call chain.
struct call_context {
    root_id root;
    std::uint32_t depth = 0; ///< Number of hops from the root call, which has 0.
    class_rank rank = 0;
    steady_time deadline;            ///< On the monotonic clock of this process; sent as remaining time.
    std::uint32_t attempts_left = 1; ///< Further attempts that all calls of the chain together may make.
    std::string caller;              ///< Name of the caller as stated by itself; empty if none.
    std::string key;                 ///< Value of the Idempotency-Key header; empty if none.
    bool idempotent = false;
    std::string account; ///< Client account in whose name the root call is made; empty if there is none.
    /// Position of the root call within its class, as admission::position_of() defines it; empty if it
    /// follows from the root id.
    std::optional<std::uint32_t> position;
    /// Nested calls that had ended, in all runs of the chain above this call, when it was made. Counted only
    /// while chains are admitted as a whole; 0 otherwise.
    std::uint32_t work_spent = 0;
};

/// Returns the time left before the deadline; zero if it has passed.
[[nodiscard]] std::chrono::nanoseconds time_left(const call_context& context, steady_time now);

} // namespace monsoonlift::core
