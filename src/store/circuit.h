/// When to leave the platform alone: after failures in a row no call is sent for a while, then one probe.
#pragma once

#include <cstdint>

#include "core/clock.h"
#include "store/backoff.h"

namespace monsoonlift::store {

/// Bounds of the circuit.
struct circuit_rule {
    std::uint32_t failures_to_open = 3;
    backoff_rule pause{std::chrono::milliseconds(1000), std::chrono::milliseconds(15'000)};
};

/// Whether calls are sent.
enum class circuit_phase {
    closed, ///< Calls are sent.
    open,   ///< No call is sent before `open_until`.
    probing ///< One call is under way to find out.
};

/// State of the circuit.
struct circuit {
    circuit_rule rule;
    circuit_phase phase = circuit_phase::closed;
    std::uint32_t failures = 0; ///< In a row.
    std::uint32_t openings = 0; ///< In a row.
    core::steady_time open_until;
};

/// Whether a call would be sent now.
[[nodiscard]] bool would_admit(const circuit& state, core::steady_time now);

/// Whether the call may be sent; after the pause the first one becomes the probe.
[[nodiscard]] bool admit(circuit& state, core::steady_time now);

/// The platform answered. True if this closed the circuit.
bool record_success(circuit& state);

/// The platform did not answer or was out. True if this opened a closed circuit.
bool record_failure(circuit& state, random_engine& random, core::steady_time now);

} // namespace monsoonlift::store
