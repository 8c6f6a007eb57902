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

/// Counters of one backend stand-in since its start.
struct backend_counters {
    std::atomic<std::uint64_t> arrived = 0;
    std::atomic<std::uint64_t> started = 0;
    std::atomic<std::uint64_t> completed = 0;
    std::atomic<std::uint64_t> cancelled = 0; ///< Requests whose connection ended before the answer.
    std::atomic<std::uint64_t> failed = 0;
    std::atomic<std::uint64_t> nested_failed = 0;
    std::atomic<std::uint32_t> connections = 0;
    std::atomic<std::uint32_t> in_flight = 0;
};

/// State shared by the sessions of one backend stand-in. Thread-safe; takes no other lock under its own.
class backend_state {
public:
    /// Takes the current time of `clock` as the start of the server.
    backend_state(backend_options options, const core::clock& clock);

    /// The clock passed to the constructor.
    [[nodiscard]] const core::clock& clock() const { return m_clock; }

    /// Options from the command line.
    [[nodiscard]] const backend_options& options() const { return m_options; }

    /// Slots of the server; each request holds one while it runs.
    [[nodiscard]] slot_pool& slots() { return m_slots; }

    /// Counters, incremented by the sessions.
    [[nodiscard]] backend_counters& counters() { return m_counters; }

    /// The faults injected at present.
    [[nodiscard]] fault_settings faults() const;

    /// Replaces the injected faults.
    void set_faults(fault_settings faults);

    /// Draws the service time of the next request, multiplied by slow_factor and by the cold-start factor.
    [[nodiscard]] std::chrono::nanoseconds draw_service_time();

    /// Draws whether the next request is answered with 500 immediately, with the probability `fail_fast`.
    [[nodiscard]] bool draw_fail_fast();

    /// Counts a received request and records its token unless it is empty.
    void count_arrival(const std::string& token);

    /// JSON list with the 64-bit hash of each distinct token received.
    [[nodiscard]] std::string tokens_json() const;

    /// Counts a run of a request, also by its idempotency key unless that is empty.
    void count_run(const std::string& key);

    /// JSON object: idempotency key -> number of runs.
    [[nodiscard]] std::string runs_json() const;

    /// JSON object of all counters.
    [[nodiscard]] std::string stats_json() const;

    /// Samples the load that load_json() reports until the next sample.
    void sample_load();

    /// JSON object of the last load sample; running and waiting are 0 while the fault `lie` is on.
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
