#pragma once

#include "model/types/model_result.h"
#include "model/types/scenario.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace monsoonlift::model::internal {

/// Counts wanted and whole calls by class and by the time they were wanted.
class goodput_recorder {
public:
    explicit goodput_recorder(const scenario& played);

    /// A caller wants a call.
    void record_wanted(std::size_t class_index, run_time wanted);

    /// The call was answered whole and in time.
    void record_whole(std::size_t class_index, run_time wanted, run_time answered);

    /// Adds the figures to the result.
    void summarise(model_result& result) const;

private:
    struct bin {
        std::uint64_t wanted = 0;
        std::uint64_t whole = 0;
        std::uint64_t answered = 0; ///< Whole calls by the time of their answer.
    };

    [[nodiscard]] std::size_t bin_of(run_time when) const;
    [[nodiscard]] double whole_ratio(const std::vector<bin>& bins, run_time from, run_time until) const;
    [[nodiscard]] double recovery_seconds() const;

    /// Calls wanted within this time before the end of the run may still be on their way.
    [[nodiscard]] run_time longest_patience() const;

    const scenario& m_played;
    std::vector<bin> m_all;
    std::vector<std::vector<bin>> m_by_class;
    std::vector<std::vector<double>> m_latencies_s;
};

} // namespace monsoonlift::model::internal
