/// Circuit breaker for the platform: after consecutive failures no call is sent for a pause, then one probe.
#pragma once

#include <cstdint>

#include "core/clock.h"
#include "store/backoff.h"

namespace monsoonlift::store {

/// Thresholds of the circuit breaker.
struct circuit_rule {
    std::uint32_t failures_to_open = 3;
    backoff_rule pause{std::chrono::milliseconds(1000), std::chrono::milliseconds(15'000)};
};

/// Whether calls are sent.
enum class circuit_phase {
    closed, ///< Calls are sent.
    open,   ///< No call is sent before `open_until`.
    probing ///< One probe call is in flight; no other call is sent.
};

/// State of the circuit breaker.
struct circuit {
    circuit_rule rule;
    circuit_phase phase = circuit_phase::closed;
    std::uint32_t failures = 0; ///< Consecutive failed calls.
    std::uint32_t openings = 0; ///< Openings since the last success; each raises the bound of the next pause.
    core::steady_time open_until;
};

/// Returns whether admit() would allow a call now; changes no state.
[[nodiscard]] bool would_admit(const circuit& state, core::steady_time now);

/// Returns whether a call may be sent. The first call after a pause becomes the probe.
[[nodiscard]] bool admit(circuit& state, core::steady_time now);

/// Records an answer of the platform. Returns true if this closed the circuit.
bool record_success(circuit& state);

/// Records that the platform did not answer or was unavailable. Returns true if this opened a closed circuit.
bool record_failure(circuit& state, random_engine& random, core::steady_time now);

} // namespace monsoonlift::store
