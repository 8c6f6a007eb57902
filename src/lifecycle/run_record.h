/// Finds the earliest time at which a signal may have reached this process: a signal waits while the process
/// stands still or a handler holds up the strand that takes it.
#pragma once

#include "core/clock.h"

#include <chrono>

namespace monsoonlift::lifecycle {

/// Time between two turns of a strand that is not held up.
constexpr std::chrono::milliseconds turn_interval{100};

/// Turns of a strand that come at least this far apart count as a pause.
constexpr std::chrono::milliseconds shortest_pause{250};

/// When a strand had its turns: the latest one, and the latest pause between two.
struct run_record {
    core::steady_time last_turn;
    core::steady_time pause_began;
    core::steady_time pause_ended;
};

/// Returns the record of a strand that has its first turn at `now`.
[[nodiscard]] run_record begin_record(core::steady_time now);

/// Records a turn at `now`.
void note_turn(run_record& record, core::steady_time now);

/// Returns the earliest time at which a signal that is taken at `now` may have arrived.
[[nodiscard]] core::steady_time earliest_arrival(const run_record& record, core::steady_time now);

} // namespace monsoonlift::lifecycle
