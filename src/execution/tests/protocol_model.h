#pragma once

#include "execution/tests/protocol_world.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace monsoonlift::execution::testing {

/// Two entries, two gates, a store and a network in virtual time; a caller that resends one key. Each step is
/// drawn by a seeded random engine among all that could happen next: delivery, loss, duplication and delay of
/// each message, crash, restart as a new incarnation, freeze and wake, hand-over with lost or late writes, an
/// operator's fence. The rules are the product's own.
class protocol_model {
public:
    protocol_model(const model_options& options, std::uint64_t seed);

    /// Runs `steps` steps; what went wrong first, or nothing.
    std::optional<std::string> explore(std::size_t steps);

    /// What happened, one line an event, for whoever looks into a violation.
    [[nodiscard]] const std::string& trace() const { return m_world.trace; }

    /// Runs of the key.
    [[nodiscard]] unsigned runs() const { return m_world.runs; }

    /// Changes of the key's home.
    [[nodiscard]] unsigned handovers() const { return m_world.handovers; }

    /// How often a caller was told this verdict.
    [[nodiscard]] unsigned told(core::verdict verdict) const {
        return m_world.told[static_cast<std::size_t>(verdict)];
    }

private:
    [[nodiscard]] execution_key draw_key();

    void step();

    protocol_world m_world;
};

} // namespace monsoonlift::execution::testing
