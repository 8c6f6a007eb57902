#pragma once

#include "configuration/types/freshness_state.h"
#include "core/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

namespace monsoonlift::configuration {

/// A series of refused calls that has ended.
struct refusal_series {
    std::uint64_t calls = 0;
    std::chrono::milliseconds lasted{0};
};

/// Holds the latest proof that the configuration in force is recent, and counts the calls that are refused
/// without one. Thread-safe; its mutex is a leaf in the lock order.
class freshness_holder {
public:
    /// Calls that need a key are served while the proof is no older than `bound`.
    explicit freshness_holder(std::chrono::milliseconds bound);

    [[nodiscard]] std::chrono::milliseconds bound() const { return m_bound; }

    /// Records a proof that counts for the configuration in force, unless a later one is known.
    void note(const freshness_proof& proof);

    /// Returns the time of the latest proof; nothing before the first. It holds for every configuration that
    /// the caller reads from the configuration_holder afterwards. Cheap: one atomic read.
    [[nodiscard]] std::optional<core::boot_time> proven() const;

    /// Returns the latest proof with the revision that it is about.
    [[nodiscard]] std::optional<freshness_proof> latest() const;

    /// Counts a refused call; returns true if it begins a series.
    bool count_refusal(core::boot_time now);

    /// Ends a series of refused calls if calls may be served at `now`; returns it if there was one.
    [[nodiscard]] std::optional<refusal_series> end_refusals(core::boot_time now);

    /// Calls refused since the start.
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    static constexpr std::int64_t never = -1;

    const std::chrono::milliseconds m_bound;
    std::atomic<std::int64_t> m_proven_at = never; ///< Time of `m_latest` in nanoseconds of the boot clock.
    std::atomic<std::uint64_t> m_refused = 0;
    mutable std::mutex m_mutex;
    std::optional<freshness_proof> m_latest;
    bool m_is_refusing = false;
    core::boot_time m_refusing_since;
    std::uint64_t m_refused_before = 0; ///< Calls refused before the present series.
};

} // namespace monsoonlift::configuration
