/// Steps of the simulated store of the home table and of the gates' calls to it. A step that isn't possible
/// now has no effect.
#pragma once

#include "execution/tests/protocol_environment.h"

namespace monsoonlift::execution::testing {

/// A random gate starts to read the table, or to write the table that it proposes.
void start_store_call(protocol_environment& environment);

/// The store executes a random call in transit.
void run_store_call(protocol_environment& environment);

/// Delivers a random answer of the store to its gate.
void deliver_store_answer(protocol_environment& environment);

/// A random gate stops waiting for the store, and an answer in transit may be lost.
void lose_store_answer(protocol_environment& environment);

} // namespace monsoonlift::execution::testing
