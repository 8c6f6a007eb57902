#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace monsoonlift::model {

/// Calls of one class, counted by the caller's intent: resends of a call count as the same call.
struct class_result {
    std::string name;
    std::uint64_t wanted = 0;
    std::uint64_t whole = 0;      ///< Answered whole and in time.
    double whole_ratio_surge = 0; ///< Share that was whole of those wanted during the surge.
    double p99_ms = 0;            ///< Latency of the whole ones, from the first send.
};

/// What the slots of all servers did during the surge, as shares of all slots.
struct slot_losses {
    double busy = 0;
    double idle_own_queue = 0;   ///< Idle while calls waited at the same gate: the limit held them back.
    double idle_other_queue = 0; ///< Idle while calls waited at another gate of the service: routing.
    double idle_no_queue = 0;    ///< Idle while none waited: what came was refused, or too little came.
};

/// Calls and attempts that were refused during the whole run, by where.
struct refusal_counts {
    std::uint64_t at_entry = 0;          ///< By the thresholds that answers carried back.
    std::uint64_t by_threshold = 0;      ///< At the gate, while all of its slots were taken.
    std::uint64_t with_a_free_slot = 0;  ///< At the gate by its threshold, while a slot was free.
    std::uint64_t without_time_left = 0; ///< At the gate on arrival: it could not end in time.
    std::uint64_t in_queue = 0;          ///< Waited too long, were pushed out, or could not end in time.
};

/// Figures of one run.
struct model_result {
    double capacity_per_second = 0;
    double goodput_ratio = 0;      ///< Whole calls during the surge over capacity.
    double steady_whole_ratio = 0; ///< Share that was whole of those wanted before the surge.
    double recovery_seconds = 0;   ///< From the end of the surge to 95% of the goodput before, for good.
    double attempts_per_root_deepest = 0; ///< Arrivals at the last service over root calls sent.
    double root_sends_per_call = 0;       ///< Root calls sent over calls wanted.
    double wasted_runs_ratio = 0;         ///< Runs at all services that no whole call came of.
    slot_losses slots;
    refusal_counts refusals;
    std::vector<class_result> classes;
};

} // namespace monsoonlift::model
