#include "store/circuit.h"

namespace monsoonlift::store {

bool would_admit(const circuit& state, core::steady_time now) {
    return state.phase == circuit_phase::closed ||
           (state.phase == circuit_phase::open && now >= state.open_until);
}

bool admit(circuit& state, core::steady_time now) {
    if (!would_admit(state, now)) {
        return false;
    }
    if (state.phase == circuit_phase::open) {
        state.phase = circuit_phase::probing;
    }
    return true;
}

bool record_success(circuit& state) {
    const bool was_closed = state.phase == circuit_phase::closed;
    state.phase = circuit_phase::closed;
    state.failures = 0;
    state.openings = 0;
    return !was_closed;
}

bool record_failure(circuit& state, random_engine& random, core::steady_time now) {
    ++state.failures;
    const bool was_closed = state.phase == circuit_phase::closed;
    const bool opens = state.phase == circuit_phase::probing ||
                       (was_closed && state.failures >= state.rule.failures_to_open);
    if (!opens) {
        return false;
    }
    state.phase = circuit_phase::open;
    state.open_until = now + next_delay(state.rule.pause, state.openings++, random);
    return was_closed;
}

} // namespace monsoonlift::store
