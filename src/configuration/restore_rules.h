/// What a daemon knows of the configurations that were accepted before the platform's store was restored from
/// a copy. A read of a restored store proves nothing about those: only a daemon that knew them when the store
/// was restored, or heard of them from one that did, can take a read for a proof.
/// docs/design/configuration-freshness.md explains the rules.
#pragma once

#include "configuration/types/freshness_state.h"
#include "core/clock.h"

#include <cstdint>

namespace monsoonlift::configuration {

/// Records the era of an answer of the store, before the answer is used. A daemon whose knowledge was recent
/// knows what was accepted before the restore; the first era ever is no restore.
void note_era(restore_knowledge& known, const freshness_rule& rule, std::uint64_t era, core::boot_time now);

/// Records that no revision higher than the highest known one had been accepted at `at`.
void note_covered(restore_knowledge& known, core::boot_time at);

/// Records what another daemon knows.
void note_told(restore_knowledge& known, const freshness_answer& answer);

/// Stops to wait for a daemon that remembers, once none has answered for long enough after the first answer
/// of the era; returns true if this call did.
bool end_wait(restore_knowledge& known, const freshness_rule& rule, core::boot_time now);

/// Whether a read of the store proves which revision is the latest: this daemon knows what was accepted
/// before the store's latest restore, as far as it has seen one.
[[nodiscard]] bool reads_prove(const restore_knowledge& known);

} // namespace monsoonlift::configuration
