/// Steps of the simulated callers and entries. A step that isn't possible now has no effect.
#pragma once

#include "execution/tests/protocol_environment.h"

namespace monsoonlift::execution::testing {

/// How long a caller waits for an answer.
constexpr std::chrono::milliseconds patience = std::chrono::seconds(5);

/// The caller sends another copy of the request through a random entry.
void resend(protocol_environment& environment);

/// Delivers a random answer in transit to its entry; the answer may also be duplicated.
void deliver_answer(protocol_environment& environment);

/// A random entry may stop waiting for the answer to one of its calls.
void give_up_call(protocol_environment& environment);

/// Restarts a random entry as a new incarnation without its calls and cached homes.
void crash_entry(protocol_environment& environment);

} // namespace monsoonlift::execution::testing
