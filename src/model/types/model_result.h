#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::model {

/// Figures of one class. A call and its resends by the caller count as one call.
struct class_result {
    std::string name;
    std::uint64_t wanted = 0;     ///< Calls that the callers made.
    std::uint64_t whole = 0;      ///< Calls that were answered completely and in time.
    double whole_ratio_surge = 0; ///< Share of the calls made during the surge that were answered completely.
    double p99_ms = 0;            ///< Latency of completely answered calls, from the first send.
};

/// Use of the slots of all servers during the surge, as shares of all slots.
struct slot_losses {
    double busy = 0;
    double idle_own_queue = 0;   ///< Idle while calls waited at the same gate (held back by its limit).
    double idle_other_queue = 0; ///< Idle while calls waited at another gate of the service (routing).
    double idle_no_queue = 0;    ///< Idle while no call waited: calls were refused, or too few arrived.
};

/// Calls and attempts that were refused during the entire run, by place and reason.
struct refusal_counts {
    std::uint64_t at_entry = 0;          ///< By the entry, because of the thresholds reported in answers.
    std::uint64_t by_threshold = 0;      ///< By the gate's threshold, while no slot was free.
    std::uint64_t with_a_free_slot = 0;  ///< By the gate's threshold, while a slot was free.
    std::uint64_t below = 0;             ///< By the gate, because a service further down would refuse.
    std::uint64_t without_time_left = 0; ///< By the gate on arrival: the call could not finish in time.
    std::uint64_t in_queue = 0; ///< In the queue: waited too long, displaced, or could not finish in time.
};

/// Figures of one run.
struct model_result {
    double capacity_per_second = 0;
    double goodput_ratio = 0;      ///< Calls answered completely during the surge, divided by the capacity.
    double steady_whole_ratio = 0; ///< Share of the calls made before the surge answered completely.
    /// Time from the end of the surge until the share of completely answered calls stays at 95% or more of
    /// its value before the surge.
    double recovery_seconds = 0;
    double attempts_per_root_deepest = 0; ///< Arrivals at the last service per root call sent.
    /// Most repeats that arrived at the last service in 10 s, per first arrival in these or in the 10 s
    /// before, whichever were more. Calls made by a run that was a repeat count as repeats.
    double repeats_deepest_worst = 0;
    double root_sends_per_call = 0; ///< Root calls sent, resends included, per call made.
    double wasted_deepest_ratio =
        0;                     ///< Share of the runs at the last service made for root calls that failed.
    double refused_p50_ms = 0; ///< Time until a root call is refused unrun, median during the surge.
    double refused_p99_ms = 0;
    double failed_ratio_surge = 0; ///< Share of the root calls sent in the surge that failed after they ran.
    double wasted_runs_ratio = 0;  ///< Share of the runs at all services that led to no complete answer.
    slot_losses slots;
    refusal_counts refusals;
    std::vector<class_result> classes;
};

} // namespace monsoonlift::model
