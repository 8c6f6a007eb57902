#include "routing/call_times.h"

#include <cmath>

namespace monsoonlift::routing {

namespace {

/// Weights of one duration in the mean and in the deviation (RFC 6298, 2.3).
constexpr double mean_weight = 1.0 / 8;
constexpr double deviation_weight = 1.0 / 4;

constexpr double deviations_allowed = 4;

} // namespace

void record_call_time(call_times& times, const std::string& kind, std::chrono::nanoseconds taken) {
    const double seconds = std::chrono::duration<double>(taken).count();
    const auto [known, is_first] = times.by_kind.try_emplace(kind, call_time{seconds, seconds / 2});
    if (is_first) {
        return;
    }
    auto& time = known->second;
    time.deviation_s += deviation_weight * (std::abs(seconds - time.mean_s) - time.deviation_s);
    time.mean_s += mean_weight * (seconds - time.mean_s);
}

std::chrono::nanoseconds likely_call_time(const call_times& times, const std::string& kind,
                                          std::chrono::nanoseconds if_unknown) {
    const auto known = times.by_kind.find(kind);
    if (known == times.by_kind.end()) {
        return if_unknown;
    }
    const std::chrono::duration<double> likely(known->second.mean_s +
                                               deviations_allowed * known->second.deviation_s);
    return std::chrono::duration_cast<std::chrono::nanoseconds>(likely);
}

bool ends_before(core::steady_time end, core::steady_time deadline, core::steady_time now,
                 std::chrono::nanoseconds likely) {
    // NOTE: the likely time is compared with the time left, as `end` may be the largest time.
    return deadline <= end || likely <= end - now;
}

} // namespace monsoonlift::routing
