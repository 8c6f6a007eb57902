/// Refuses calls that need a key while nothing proves that the configuration in force is recent.
#pragma once

#include "configuration/freshness_holder.h"
#include "core/clock.h"
#include "entry/request_parsing.h"
#include "entry/types/problem.h"
#include "logging/event_log.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace monsoonlift::entry::internal {

/// The check of one call. It holds the time of the latest proof as read before the configuration that decides
/// about the call's key: a proof that arrives between the two may be about a later configuration.
struct freshness_check {
    configuration::freshness_holder* proofs = nullptr; ///< Null if the age is not checked.
    std::optional<core::boot_time> proven;

    /// Returns the problem if the call needs a key and the proof is too old. Reads the clock, so it must be
    /// called after the request's head was read. `revision` is that of the configuration.
    [[nodiscard]] std::optional<problem> refuse(const std::variant<parsed_call, problem>& parsed,
                                                std::uint64_t revision, const core::clock& clock,
                                                logging::event_log& log) const;
};

/// Begins the check of one call; `proofs` may be null.
[[nodiscard]] freshness_check begin_freshness_check(configuration::freshness_holder* proofs);

} // namespace monsoonlift::entry::internal
