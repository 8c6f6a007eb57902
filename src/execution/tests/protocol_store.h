/// Steps of the model's store of the table of homes, and of the gates' calls of it.
#pragma once

#include "execution/tests/protocol_world.h"

namespace monsoonlift::execution::testing {

/// A gate begins to read the table, or to write the change it wants.
void start_store_call(protocol_world& world);

/// The store carries out any of the calls under way.
void run_store_call(protocol_world& world);

/// A gate gets any of the store's answers.
void deliver_store_answer(protocol_world& world);

/// A gate gives up waiting for the store.
void lose_store_answer(protocol_world& world);

} // namespace monsoonlift::execution::testing
