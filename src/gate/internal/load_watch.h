#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "routing/routing_table.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace monsoonlift::gate::internal {

/// A concurrency limit that doubled or halved.
struct limit_change {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
};

/// A shed level that moved to another class.
struct threshold_move {
    admission::shed_level from;
    admission::shed_level to;
};

/// Changes of a gate's load to be logged for operators.
struct load_changes {
    std::optional<admission::shed_level> overload_started;   ///< Shed level at the start of an overload.
    std::optional<std::chrono::nanoseconds> overload_lasted; ///< Duration of an overload that ended.
    std::optional<threshold_move> threshold;
    std::optional<limit_change> limit;
};

/// Detects overload from a shed level that moves many times per second. An overload lasts until the level has
/// admitted all calls for `quiet_period`; changes of one kind are reported at least that far apart.
class load_watch {
public:
    /// How long the shed level must admit all calls for an overload to end, and the shortest time between two
    /// reports of one kind.
    static constexpr std::chrono::seconds quiet_period{5};

    /// Returns what has changed since the last call.
    [[nodiscard]] load_changes update(const routing::load_report& report, core::steady_time now);

private:
    void update_level(const admission::shed_level& level, core::steady_time now, load_changes& changes);
    void update_limit(std::uint32_t limit, core::steady_time now, load_changes& changes);

    bool m_overloaded = false;
    core::steady_time m_started;
    core::steady_time m_last_strict; ///< Last call at which the shed level refused calls.
    core::steady_time m_level_reported_at;
    admission::shed_level m_reported_level; ///< Last reported shed level.
    core::steady_time m_limit_reported_at;
    std::uint32_t m_reported_limit = 0; ///< Last reported limit, at first the first one seen; 0 before.
};

} // namespace monsoonlift::gate::internal
