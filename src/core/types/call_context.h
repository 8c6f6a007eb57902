#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace monsoonlift::core {

/// Position of a class in the operators' order: 0 is shed last.
using class_rank = std::uint8_t;

/// What travels with a call to every nested call. Budgets only shrink on the way.
struct call_context {
    root_id root;
    std::uint32_t depth = 0; ///< 0 for the root call.
    class_rank rank = 0;
    steady_time deadline;            ///< On this process's clock; as time left on the wire.
    std::uint32_t attempts_left = 1; ///< Attempts that the whole chain may still spend.
    std::string caller;              ///< Name the caller gives itself; empty if none.
    std::string key;                 ///< Idempotency-Key; empty if none.
    bool idempotent = false;
};

/// Time left before the deadline; zero if it has passed.
[[nodiscard]] std::chrono::nanoseconds time_left(const call_context& context, steady_time now);

} // namespace monsoonlift::core
