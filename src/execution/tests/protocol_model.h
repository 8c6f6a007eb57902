#pragma once

#include "execution/tests/protocol_environment.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::execution::testing {

/// Simulates two entries, two gates, a store and a network in virtual time, and a caller that resends one
/// key. A seeded random engine draws each step from the possible events: delivery, loss, duplication and
/// delay of each message, crash, restart as a new incarnation, pause and resume, hand-over with lost or late
/// writes, an operator's fence. The protocol rules are those of the production code.
class protocol_model {
public:
    protocol_model(const model_options& options, std::uint64_t seed);

    /// Runs `steps` steps, up to the first violation, and returns that violation; empty if there was none.
    std::optional<std::string> explore(std::size_t steps);

    /// Returns the events, one per line, for debugging a violation; empty unless options.trace is set.
    [[nodiscard]] const std::string& trace() const { return m_world.trace; }

    /// Returns how many times the key ran.
    [[nodiscard]] unsigned runs() const { return m_world.runs; }

    /// Returns how many times the key's home changed.
    [[nodiscard]] unsigned handovers() const { return m_world.handovers; }

    /// Returns how many times a caller received this verdict.
    [[nodiscard]] unsigned received(core::verdict verdict) const {
        return m_world.received[static_cast<std::size_t>(verdict)];
    }

private:
    [[nodiscard]] execution_key draw_key();

    void step();

    protocol_environment m_world;
};

} // namespace monsoonlift::execution::testing
