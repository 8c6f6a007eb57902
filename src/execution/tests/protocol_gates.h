/// Steps of the model's gates. Each does nothing if there is nothing to do.
#pragma once

#include "execution/tests/protocol_world.h"

namespace monsoonlift::execution::testing {

/// Starts a gate as a new incarnation at its address.
void start_gate(protocol_world& world, std::size_t index);

/// A gate gets any of the frames under way.
void deliver_frame(protocol_world& world);

/// A gate sends one of its open attempts to its backend server, or gives it up.
void work_at_gate(protocol_world& world);

/// A backend server ends a run, with an answer or without.
void end_run(protocol_world& world);

/// A gate crashes, now and then with its VM; or one that has crashed starts again.
void crash_or_restart_gate(protocol_world& world);

/// Gates forget what is past its time.
void forget_at_gates(protocol_world& world);

/// A gate's process stops or goes on.
void freeze_or_wake_gate(protocol_world& world);

/// A gate begins or ceases to give its slots away.
void toggle_leaving(protocol_world& world);

/// An operator fences a gate whose VM is gone, and puts another in its place.
void fence_destroyed_gate(protocol_world& world);

} // namespace monsoonlift::execution::testing
