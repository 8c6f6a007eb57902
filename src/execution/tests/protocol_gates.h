/// Steps of the simulated gates. A step that isn't possible now has no effect.
#pragma once

#include "execution/tests/protocol_environment.h"

namespace monsoonlift::execution::testing {

/// Starts a gate as a new incarnation at its address.
void start_gate(protocol_environment& environment, std::size_t index);

/// Delivers a random frame in transit to its gate; the frame may also be duplicated.
void deliver_frame(protocol_environment& environment);

/// A random gate sends one of its open attempts to its backend server, or abandons it.
void work_at_gate(protocol_environment& environment);

/// A backend server finishes a run, with or without an answer.
void end_run(protocol_environment& environment);

/// Crashes a random gate, in 15 % of cases together with its VM, or restarts it if it has crashed.
void crash_or_restart_gate(protocol_environment& environment);

/// Removes expired records and refused attempts at every gate.
void forget_at_gates(protocol_environment& environment);

/// Pauses the process of a random gate, or resumes it.
void freeze_or_wake_gate(protocol_environment& environment);

/// Makes a random gate start or stop giving its slots away.
void toggle_leaving(protocol_environment& environment);

/// An operator fences a gate whose VM is destroyed and starts a gate on a new VM at the same address.
void fence_destroyed_gate(protocol_environment& environment);

} // namespace monsoonlift::execution::testing
