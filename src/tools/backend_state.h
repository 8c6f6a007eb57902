#pragma once

#include "core/clock.h"
#include "tools/slot_pool.h"
#include "tools/types/backend_options.h"
#include "tools/types/fault_settings.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <unordered_set>

namespace monsoonlift::tools {

/// Counts of one backend stand-in since its start.
struct backend_counters {
    std::atomic<std::uint64_t> arrived = 0;
    std::atomic<std::uint64_t> started = 0;
    std::atomic<std::uint64_t> completed = 0;
    std::atomic<std::uint64_t> cancelled = 0; ///< The other side went away before the answer.
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> nested_failed = 0;
    std::atomic<std::uint32_t> connections = 0;
    std::atomic<std::uint32_t> in_flight = 0;
};

/// What the sessions of one backend stand-in share. Thread-safe; its lock is a leaf.
class backend_state {
public:
    /// Creates the state of a server that starts now.
    backend_state(backend_options options, const core::clock& clock);

    /// The clock it was given.
    [[nodiscard]] const core::clock& clock() const { return m_clock; }

    /// As given on the command line.
    [[nodiscard]] const backend_options& options() const { return m_options; }

    /// Requests hold one each while they run.
    [[nodiscard]] slot_pool& slots() { return m_slots; }

    /// Counts that sessions raise.
    [[nodiscard]] backend_counters& counters() { return m_counters; }

    /// The faults switched on now.
    [[nodiscard]] fault_settings faults() const;

    /// Replaces the faults.
    void set_faults(fault_settings faults);

    /// Draws the service time of the next request.
    [[nodiscard]] std::chrono::nanoseconds draw_service_time();

    /// Draws whether the next request fails at once.
    [[nodiscard]] bool draw_fail_fast();

    /// Counts a request that arrived with this token.
    void count_arrival(const std::string& token);

    /// JSON list: a number for each different token that arrived.
    [[nodiscard]] std::string tokens_json() const;

    /// Counts a run of a request with this key.
    void count_run(const std::string& key);

    /// JSON object: key -> number of runs.
    [[nodiscard]] std::string runs_json() const;

    /// JSON object of all counters.
    [[nodiscard]] std::string stats_json() const;

    /// Keeps the load that /load tells from now on.
    void sample_load();

    /// JSON object of the load kept last; a lying server tells of none.
    [[nodiscard]] std::string load_json() const;

private:
    [[nodiscard]] double cold_factor() const;

    const backend_options m_options;
    const core::clock& m_clock;
    const core::steady_time m_started;
    slot_pool m_slots;
    backend_counters m_counters;
    mutable std::mutex m_mutex;
    fault_settings m_faults;
    std::mt19937_64 m_random;
    std::map<std::string, std::uint64_t> m_runs;
    std::unordered_set<std::uint64_t> m_tokens;
    std::uint32_t m_sampled_running = 0;
    std::size_t m_sampled_waiting = 0;
};

} // namespace monsoonlift::tools
