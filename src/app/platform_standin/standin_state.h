#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "app/platform_standin/types/call_counts.h"
#include "app/platform_standin/types/fault_plan.h"
#include "app/platform_standin/types/handling.h"
#include "store/testing/memory_store.h"

namespace monsoonlift::platform_standin {

/// The store as it was at a time.
struct store_copy {
    std::chrono::steady_clock::time_point taken;
    store::testing::memory_store store;
};

/// The complete state of the stand-in. Used on one thread.
struct standin_state {
    store::testing::memory_store store;
    fault_plan faults;
    call_counts counts;
    std::mt19937_64 random{1};
    std::map<std::uint64_t, std::function<void()>> waiting; ///< Called once, at the next change.
    std::uint64_t last_key = 0;                             ///< Key of the callback that was registered last.
    std::deque<store_copy> copies; ///< Oldest first, from which the store can be restored.
    std::uint64_t era = 1;         ///< Rises with each restore.
    std::string era_field;         ///< Header field of the answers that has the era; empty for none.
    path_handler more_paths;       ///< Called before the object API's own paths; may be empty.
};

/// Restores the store from the latest copy that is at least `age` old, or to an empty store without one. What
/// was written since is lost, and revisions are assigned again.
void restore(standin_state& state, std::chrono::milliseconds age, std::chrono::steady_clock::time_point now);

/// Registers `wake` to be called at the next change of the store or of the faults. Returns a key for
/// cancel_callback.
std::uint64_t call_at_next_change(standin_state& state, std::function<void()> wake);

/// Removes a registered callback; does nothing if it has been called.
void cancel_callback(standin_state& state, std::uint64_t key);

/// Calls all registered callbacks and removes them.
void notify_waiting(standin_state& state);

} // namespace monsoonlift::platform_standin
