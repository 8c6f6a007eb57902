#pragma once

#include "model/types/model_result.h"
#include "model/types/scenario.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoonlift::model::internal {

/// Counts the calls made and those answered completely, by class and by the time at which the call was made.
class goodput_recorder {
public:
    explicit goodput_recorder(const scenario& simulated);

    /// Counts a call made by a caller.
    void record_request(std::size_t class_index, run_time requested_at);

    /// Counts a call that was answered completely and in time.
    void record_complete(std::size_t class_index, run_time requested_at, run_time answered_at);

    /// Adds the figures to the result.
    void summarise(model_result& result) const;

private:
    struct bin {
        std::uint64_t wanted = 0;
        std::uint64_t whole = 0;
        std::uint64_t answered = 0; ///< Complete calls by the time of their answer.
    };

    [[nodiscard]] std::size_t bin_of(run_time when) const;
    [[nodiscard]] double whole_ratio(const std::vector<bin>& bins, run_time from, run_time until) const;
    [[nodiscard]] double recovery_seconds() const;

    /// Returns the longest patience of all callers, at least 1 s. Calls made within this time before the end
    /// of the run may not have been answered yet.
    [[nodiscard]] run_time longest_patience() const;

    const scenario& m_scenario;
    std::vector<bin> m_all;
    std::vector<std::vector<bin>> m_by_class;
    std::vector<std::vector<double>> m_latencies_s;
};

} // namespace monsoonlift::model::internal
