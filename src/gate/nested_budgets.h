#pragma once

#include "admission/types/shed_level.h"

#include <cstdint>
#include <mutex>
#include <unordered_map>

namespace monsoonlift::gate {

/// Retry budgets of the requests that run on the local backend server, and what their nested calls met. Its
/// nested calls draw from the budget of the request that made them, so the root call has one budget for all
/// hops. Thread-safe.
class nested_budgets {
public:
    /// A request begins to run with what its root call may still spend.
    void open(std::uint64_t run, std::uint32_t attempts_left);

    /// Takes all that is left for one nested call; nested calls at the same time get nothing. Zero for a run
    /// that has ended.
    [[nodiscard]] std::uint32_t reserve(std::uint64_t run);

    /// Gives back what a nested call left of its reserve and counts what it spent.
    void give_back(std::uint64_t run, std::uint32_t unspent, std::uint32_t spent);

    /// A nested call met that threshold on its way.
    void note_level(std::uint64_t run, const admission::shed_level& met);

    /// The strictest threshold that nested calls of the request met; the default if none did.
    [[nodiscard]] admission::shed_level strictest_level(std::uint64_t run) const;

    /// Whether the request still runs.
    [[nodiscard]] bool is_open(std::uint64_t run) const;

    /// The request ended; what its nested calls spent.
    std::uint32_t close(std::uint64_t run);

private:
    struct budget {
        std::uint32_t left = 0;
        std::uint32_t spent = 0;
        admission::shed_level strictest;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, budget> m_budgets;
};

} // namespace monsoonlift::gate
