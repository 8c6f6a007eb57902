/// Decisions of a freshness_keeper, as functions of its state: which events prove that the configuration in
/// force is recent, whom to ask and when to read the store. docs/design/configuration-freshness.md explains
/// the rules.
#pragma once

#include "configuration/types/freshness_state.h"
#include "core/clock.h"
#include "membership/types/member.h"
#include "store/backoff.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::configuration {

/// Returns intervals with which a proof stays younger than half of `bound` while store and watchers answer.
[[nodiscard]] freshness_rule freshness_rule_within(std::chrono::milliseconds bound);

/// Returns the proof of a linearizable read that was sent at `sent` and returned `read`; nothing if the store
/// has a lower revision than the one in force, as after a restore.
[[nodiscard]] std::optional<freshness_proof> proof_of_read(std::uint64_t read, std::uint64_t in_force,
                                                           core::boot_time sent);

/// Returns the proof of an answer to a question that was sent at `sent`; nothing if it is about a lower
/// revision than the one in force. The answering daemon computed the age after that time, so its proof is at
/// least as recent.
[[nodiscard]] std::optional<freshness_proof> proof_of_answer(const freshness_answer& answer,
                                                             std::uint64_t in_force, core::boot_time sent);

/// Whether the proof says something about the configuration in force: it is not about a higher revision.
[[nodiscard]] bool counts(const freshness_proof& proof, std::uint64_t in_force);

/// Whether a call that needs a key may be served at `now`, given the time of the latest proof.
[[nodiscard]] bool may_serve(std::optional<core::boot_time> proven, std::chrono::milliseconds bound,
                             core::boot_time now);

/// Returns whom this daemon can ask. All daemons with the same member list agree on the watchers.
[[nodiscard]] freshness_peers find_freshness_peers(const std::string& address, const std::string& data_centre,
                                                   const std::vector<membership::member>& members,
                                                   std::size_t watchers_per_data_centre);

/// Whether to read the store now. Watchers read at regular intervals; other daemons only while their proof is
/// old, each at a random time, so that the fleet's reads stay within `extra_reads_per_second`.
[[nodiscard]] bool reads_store(freshness_state& state, const freshness_rule& rule,
                               std::optional<core::boot_time> proven, store::random_engine& random,
                               core::boot_time now);

/// Returns whom to ask now: one watcher, or, while the proof is late, the next watcher and random peers.
/// Without a useful answer, record_useful_answer(), the next watcher is asked soon.
[[nodiscard]] std::vector<core::endpoint_id> next_to_ask(freshness_state& state, const freshness_rule& rule,
                                                         std::optional<core::boot_time> proven,
                                                         store::random_engine& random, core::boot_time now);

/// Records a question sent at `now` and returns its number.
[[nodiscard]] std::uint64_t record_question(freshness_state& state, const freshness_rule& rule,
                                            core::boot_time now);

/// Takes the record of a question and returns when it was sent; nothing if it is unknown or was answered.
[[nodiscard]] std::optional<core::boot_time> take_question(freshness_state& state, std::uint64_t question);

/// Records an answer that proved something; unless its proof is late too, it satisfies the daemon until the
/// next regular question.
void record_useful_answer(freshness_state& state, const freshness_rule& rule, core::boot_time proven,
                          core::boot_time now);

/// Keeps a proof until its revision is in force here.
void keep_pending(freshness_state& state, const freshness_proof& proof);

/// Removes and returns the latest of the pending proofs that count now.
[[nodiscard]] std::optional<freshness_proof> take_pending(freshness_state& state, std::uint64_t in_force);

} // namespace monsoonlift::configuration
