#pragma once

#include "core/clock.h"
#include "core/types/call_ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace monsoonlift::configuration {

/// Intervals by which a daemon keeps proofs that its configuration is recent; see freshness_rule_within().
struct freshness_rule {
    std::chrono::milliseconds bound{0};         ///< Oldest proof with which calls that need a key are served.
    std::chrono::milliseconds tick{100};        ///< Interval of the checks of what is due.
    std::chrono::milliseconds read_interval{0}; ///< Between two reads of the store by a watcher.
    std::chrono::milliseconds read_patience{0}; ///< Time-out of a read.
    std::chrono::milliseconds ask_interval{0};  ///< Between two questions to a watcher.
    std::chrono::milliseconds retry_interval{0}; ///< The same, while the proof is late.
    std::chrono::milliseconds late_after{0}; ///< Age from which a proof is late, so that others are asked.
    std::chrono::milliseconds read_after{0}; ///< Age from which daemons that aren't watchers read the store.
    std::chrono::milliseconds role_check{0}; ///< Interval at which the watchers are elected again.
    /// How long after a restore of the store was seen a daemon waits for one that remembers what was accepted
    /// before; twice as long if it has never had a proof.
    std::chrono::milliseconds restore_patience{0};
    std::size_t watchers_per_data_centre = 2;
    std::size_t most_reads =
        4; ///< Reads of one daemon in flight, so that a slow store is still read regularly.
    /// Reads a second that daemons that aren't watchers send together; each sends its share of them.
    double extra_reads_per_second = 40;
};

/// No revision higher than `revision` had been accepted at the time `at`.
struct freshness_proof {
    std::uint64_t revision = 0;
    core::boot_time at;

    bool operator==(const freshness_proof&) const = default;
};

/// What another daemon answered about its proof.
struct freshness_answer {
    std::uint64_t question = 0;
    std::uint64_t revision = 0;
    std::chrono::microseconds age{0};
    std::uint64_t accepted = 0; ///< Highest revision that the daemon knows to have been accepted.
    /// Era of the store's latest restore before which the daemon knows what was accepted; 0 if it knows none.
    std::uint64_t known_era = 0;
};

/// What a daemon knows of the configurations accepted before the latest restore of the store.
struct restore_knowledge {
    std::uint64_t era = 0;       ///< Highest era seen in an answer of the store; 0 before the first.
    std::uint64_t known_era = 0; ///< What was accepted before the restore that began this era is known.
    std::uint64_t highest = 0;   ///< Highest revision known to have been accepted.
    core::boot_time era_seen;    ///< When `era` was first seen.
    /// Latest time at which no revision above the highest known one had been accepted.
    std::optional<core::boot_time> covered_at;
};

/// Daemons that can be asked.
struct freshness_peers {
    bool is_watcher = false;                      ///< Whether this daemon is a watcher itself.
    std::vector<core::endpoint_id> near_watchers; ///< Of this daemon's data centre.
    std::vector<core::endpoint_id> far_watchers;  ///< Of the other data centres.
    std::vector<core::endpoint_id> others;        ///< All other members that are present.
};

/// State of a freshness_keeper besides the proof in force.
struct freshness_state {
    freshness_peers peers;
    core::boot_time next_role_check;
    core::boot_time next_read;                      ///< Of a watcher.
    std::size_t reads = 0;                          ///< In flight.
    std::optional<core::boot_time> next_extra_read; ///< Of a daemon that is not a watcher.
    core::boot_time last_asked;
    core::boot_time next_question;
    std::uint32_t unanswered =
        0; ///< Rounds of questions since the last answer with a proof that is not late.
    std::size_t first_watcher =
        0; ///< Position of the watcher that is asked first; drawn after such an answer.
    std::uint64_t last_question = 0;
    std::map<std::uint64_t, core::boot_time> questions; ///< Times at which unanswered questions were sent.
    restore_knowledge restore;
    std::vector<freshness_proof> pending; ///< Proofs for revisions that are not in force here yet.
};

} // namespace monsoonlift::configuration
