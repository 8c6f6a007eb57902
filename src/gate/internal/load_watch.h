#pragma once

#include "admission/types/shed_level.h"
#include "core/clock.h"
#include "routing/routing_table.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace monsoonlift::gate::internal {

/// A limit that changed strongly.
struct limit_change {
    std::uint32_t from = 0;
    std::uint32_t to = 0;
};

/// A threshold that reached another class.
struct threshold_move {
    admission::shed_level from;
    admission::shed_level to;
};

/// What an operator wants to know of a gate's load, beyond the numbers.
struct load_news {
    std::optional<admission::shed_level> overload_started;   ///< The threshold with which it started.
    std::optional<std::chrono::nanoseconds> overload_lasted; ///< It is over.
    std::optional<threshold_move> threshold;
    std::optional<limit_change> limit;
};

/// Tells overload from a threshold that moves many times a second: it lasts until the threshold has admitted
/// everything for a while, and news of one kind is apart by as much.
class load_watch {
public:
    /// How long the threshold must admit everything, and the shortest time between two news of one kind.
    static constexpr std::chrono::seconds calm{5};

    /// What has changed since the last look.
    [[nodiscard]] load_news look(const routing::load_report& report, core::steady_time now);

private:
    void look_at_level(const admission::shed_level& level, core::steady_time now, load_news& news);
    void look_at_limit(std::uint32_t limit, core::steady_time now, load_news& news);

    bool m_overloaded = false;
    core::steady_time m_started;
    core::steady_time m_last_strict; ///< The last look at which the threshold refused calls.
    core::steady_time m_level_told;
    admission::shed_level m_level; ///< As it was told.
    core::steady_time m_limit_told;
    std::uint32_t m_limit = 0; ///< As it was told; 0 before the first look.
};

} // namespace monsoonlift::gate::internal
