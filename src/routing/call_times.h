/// How long calls of each kind are likely to take, as learned from answered calls. A process that is about to
/// end needs it to take only calls that end before.
#pragma once

#include "core/clock.h"

#include <chrono>
#include <string>
#include <unordered_map>

namespace monsoonlift::routing {

/// Smoothed duration of calls of one kind and its smoothed mean deviation, in seconds.
struct call_time {
    double mean_s = 0;
    double deviation_s = 0;
};

/// Durations of answered calls by kind.
struct call_times {
    std::unordered_map<std::string, call_time> by_kind;
};

/// Records how long an answered call took, from its sending to the end of its answer.
void record_call_time(call_times& times, const std::string& kind, std::chrono::nanoseconds taken);

/// Returns a time that few calls of the kind exceed: the mean and four mean deviations, as the retransmission
/// timeout of TCP (RFC 6298). Returns `if_unknown` for a kind of which no call has been answered.
[[nodiscard]] std::chrono::nanoseconds likely_call_time(const call_times& times, const std::string& kind,
                                                        std::chrono::nanoseconds if_unknown);

/// Whether a call that is sent now will have ended at `end`: by its deadline, or likely by its answer.
[[nodiscard]] bool ends_before(core::steady_time end, core::steady_time deadline, core::steady_time now,
                               std::chrono::nanoseconds likely);

} // namespace monsoonlift::routing
