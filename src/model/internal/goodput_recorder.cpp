#include "model/internal/goodput_recorder.h"

#include <algorithm>

namespace monsoonlift::model::internal {

namespace {

constexpr std::chrono::milliseconds bin_length{250};
constexpr std::chrono::seconds warm_up{2};
constexpr double recovered_share = 0.95;

double ratio(double part, double total) {
    return total > 0 ? part / total : 0;
}

} // namespace

goodput_recorder::goodput_recorder(const scenario& simulated)
    : m_scenario(simulated), m_all(static_cast<std::size_t>(simulated.length / bin_length) + 1),
      m_by_class(simulated.classes.size(), std::vector<bin>(m_all.size())),
      m_latencies_s(simulated.classes.size()) {}

void goodput_recorder::record_request(std::size_t class_index, run_time requested_at) {
    ++m_all[bin_of(requested_at)].wanted;
    ++m_by_class[class_index][bin_of(requested_at)].wanted;
}

void goodput_recorder::record_complete(std::size_t class_index, run_time requested_at, run_time answered_at) {
    ++m_all[bin_of(requested_at)].whole;
    ++m_all[bin_of(answered_at)].answered;
    ++m_by_class[class_index][bin_of(requested_at)].whole;
    m_latencies_s[class_index].push_back(std::chrono::duration<double>(answered_at - requested_at).count());
}

void goodput_recorder::summarise(model_result& result) const {
    std::uint64_t answered = 0;
    for (std::size_t index = bin_of(m_scenario.surge_from); index < bin_of(m_scenario.surge_until); ++index) {
        answered += m_all[index].answered;
    }
    const double surge_s =
        std::chrono::duration<double>(m_scenario.surge_until - m_scenario.surge_from).count();
    result.goodput_ratio = ratio(static_cast<double>(answered), surge_s * result.capacity_per_second);
    result.steady_whole_ratio = whole_ratio(m_all, warm_up, m_scenario.surge_from);
    result.recovery_seconds = recovery_seconds();
    for (std::size_t index = 0; index < m_by_class.size(); ++index) {
        class_result figures;
        figures.name = m_scenario.classes[index].name;
        for (const auto& counted : m_by_class[index]) {
            figures.wanted += counted.wanted;
            figures.whole += counted.whole;
        }
        figures.whole_ratio_surge =
            whole_ratio(m_by_class[index], m_scenario.surge_from, m_scenario.surge_until);
        auto latencies = m_latencies_s[index];
        if (!latencies.empty()) {
            const auto place = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
            std::nth_element(latencies.begin(), place, latencies.end());
            figures.p99_ms = *place * 1000;
        }
        result.classes.push_back(figures);
    }
}

std::size_t goodput_recorder::bin_of(run_time when) const {
    return std::min(m_all.size() - 1, static_cast<std::size_t>(when / bin_length));
}

double goodput_recorder::whole_ratio(const std::vector<bin>& bins, run_time from, run_time until) const {
    bin sum;
    for (std::size_t index = bin_of(from); index < bin_of(until); ++index) {
        sum.wanted += bins[index].wanted;
        sum.whole += bins[index].whole;
    }
    return ratio(static_cast<double>(sum.whole), static_cast<double>(sum.wanted));
}

run_time goodput_recorder::longest_patience() const {
    run_time longest = std::chrono::seconds(1);
    for (const auto& callers : m_scenario.classes) {
        longest = std::max<run_time>(longest, callers.patience);
    }
    return longest;
}

double goodput_recorder::recovery_seconds() const {
    const double before = whole_ratio(m_all, warm_up, m_scenario.surge_from);
    const std::size_t surge_end = bin_of(m_scenario.surge_until);
    std::size_t recovered = surge_end;
    const std::size_t last = bin_of(m_scenario.length - longest_patience());
    for (std::size_t index = surge_end; index < last; ++index) {
        const auto& counted = m_all[index];
        const double share = ratio(static_cast<double>(counted.whole), static_cast<double>(counted.wanted));
        if (counted.wanted > 0 && share < recovered_share * before) {
            recovered = index + 1;
        }
    }
    return std::chrono::duration<double>(bin_length * static_cast<std::int64_t>(recovered - surge_end))
        .count();
}

} // namespace monsoonlift::model::internal
