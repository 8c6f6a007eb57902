#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>

#include "app/platform_standin/types/call_counts.h"
#include "app/platform_standin/types/fault_plan.h"
#include "app/platform_standin/types/handling.h"
#include "store/testing/memory_store.h"

namespace monsoonlift::platform_standin {

/// All that the stand-in keeps. Used on one thread.
struct standin_state {
    store::testing::memory_store store;
    fault_plan faults;
    call_counts counts;
    std::mt19937_64 random{1};
    std::map<std::uint64_t, std::function<void()>> waiting; ///< Called once each at the next change.
    std::uint64_t last_waiting = 0;                         ///< The key given last.
    path_handler more_paths;                                ///< Asked first; may be empty.
};

/// Has `wake` called at the next change of the store or of the faults; gives a key for stop_waiting.
std::uint64_t wait_for_change(standin_state& state, std::function<void()> wake);

/// Takes a waiter back; does nothing if it has been called.
void stop_waiting(standin_state& state, std::uint64_t key);

/// Wakes everything that waits for a change.
void notify_waiting(standin_state& state);

} // namespace monsoonlift::platform_standin
