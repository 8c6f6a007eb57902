#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "core/types/call_context.h"
#include "core/types/call_ids.h"
#include "routing/downstream_levels.h"

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

namespace monsoonlift::gate {

/// The nested calls of a running request.
struct run_progress {
    std::uint32_t calls_begun = 0;
    std::uint32_t calls_ended = 0;
    bool is_repeat = false; ///< The request was sent before, so its nested calls may have been made before.
};

/// What a daemon knows of a request that runs here, whatever the text of its context token says.
struct run_origin {
    core::root_id root;
    std::uint32_t depth = 0;
    core::class_rank rank = 0;
    std::string account;                   ///< As in the request's context.
    std::optional<std::uint32_t> position; ///< As in the request's context.
    std::string kind;                      ///< Kind of call; empty unless chains are admitted as a whole.
};

/// Retry budgets of the requests that run on the local backend server, and the strictest shed level that
/// their nested calls met. Nested calls draw from the budget of the request that made them, so the root call
/// has one budget for all hops. Thread-safe.
class nested_budgets {
public:
    /// Registers a request that begins to run, with the attempts that its root call may still spend.
    /// `is_repeat` says whether it is sent for the second time or more.
    void open(std::uint64_t run, std::uint32_t attempts_left, bool is_repeat = false, run_origin origin = {});

    /// Returns what the request was registered with; nothing if it isn't running.
    [[nodiscard]] std::optional<run_origin> origin(std::uint64_t run) const;

    /// Reserves the complete remaining budget for one nested call; concurrent nested calls get zero. Zero for
    /// a run that has ended.
    [[nodiscard]] std::uint32_t reserve(std::uint64_t run);

    /// Returns the unspent part of a nested call's reservation to the budget and adds what it spent.
    void give_back(std::uint64_t run, std::uint32_t unspent, std::uint32_t spent);

    /// Returns how far the request has come; the default if it isn't running.
    [[nodiscard]] run_progress progress(std::uint64_t run) const;

    /// Records a shed level that a nested call met.
    void note_level(std::uint64_t run, const admission::shed_level& met);

    /// Returns the strictest shed level that nested calls of the request met; the default if none was
    /// recorded.
    [[nodiscard]] admission::shed_level strictest_level(std::uint64_t run) const;

    /// Records that the request calls a service whose gates have this median threshold.
    void note_called(std::uint64_t run, const std::string& service, const admission::shed_level& own,
                     core::steady_time now);

    /// Records the threshold that a gate of a service reports for the services below it.
    void note_below(const std::string& service, const admission::shed_level& below, core::steady_time now);

    /// Returns the threshold that nested calls of requests of this kind are likely to meet.
    [[nodiscard]] admission::shed_level level_below(const std::string& kind, core::steady_time now) const;

    /// Whether the request is still running.
    [[nodiscard]] bool is_open(std::uint64_t run) const;

    /// Removes a request that ended; returns the attempts that its nested calls spent, zero if it is unknown.
    std::uint32_t close(std::uint64_t run);

private:
    struct budget {
        std::uint32_t remaining = 0;
        std::uint32_t spent = 0;
        admission::shed_level strictest;
        run_progress progress;
        run_origin origin;
    };

    mutable std::mutex m_mutex;
    std::unordered_map<std::uint64_t, budget> m_budgets;
    routing::downstream_levels m_downstream;
};

} // namespace monsoonlift::gate
