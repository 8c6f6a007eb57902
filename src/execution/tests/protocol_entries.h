/// Steps of the model's callers and entries. Each does nothing if there is nothing to do.
#pragma once

#include "execution/tests/protocol_world.h"

namespace monsoonlift::execution::testing {

/// What a caller waits for an answer.
constexpr std::chrono::milliseconds patience = std::chrono::seconds(5);

/// The caller sends one more copy, through any entry.
void resend(protocol_world& world);

/// An entry gets any of the answers under way.
void deliver_answer(protocol_world& world);

/// An entry stops waiting for one of its calls.
void give_up_call(protocol_world& world);

/// An entry starts again as a new incarnation.
void crash_entry(protocol_world& world);

} // namespace monsoonlift::execution::testing
