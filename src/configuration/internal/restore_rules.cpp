#include "configuration/restore_rules.h"

#include <algorithm>

namespace monsoonlift::configuration {

namespace {

/// Era of a store that was never restored.
constexpr std::uint64_t first_era = 1;

} // namespace

void note_era(restore_knowledge& known, const freshness_rule& rule, std::uint64_t era, core::boot_time now) {
    if (era <= known.era) {
        return;
    }
    const bool is_recent = known.covered_at && now - *known.covered_at <= rule.late_after;
    const bool has_lived_through = known.era > 0 && reads_prove(known) && is_recent;
    if (era == first_era || has_lived_through) {
        known.known_era = std::max(known.known_era, era);
    }
    known.era = era;
    known.era_seen = now;
}

void note_covered(restore_knowledge& known, core::boot_time at) {
    known.covered_at = std::max(at, known.covered_at.value_or(at));
}

void note_told(restore_knowledge& known, const freshness_answer& answer) {
    known.highest = std::max({known.highest, answer.revision, answer.accepted});
    known.known_era = std::max(known.known_era, answer.known_era);
}

bool end_wait(restore_knowledge& known, const freshness_rule& rule, core::boot_time now) {
    // NOTE: a daemon that knew the latest revision until some time before the restore can have missed less.
    const auto wait = known.covered_at ? rule.restore_patience : 2 * rule.restore_patience;
    if (reads_prove(known) || now - known.era_seen < wait) {
        return false;
    }
    known.known_era = known.era;
    return true;
}

bool reads_prove(const restore_knowledge& known) {
    return known.known_era >= known.era;
}

} // namespace monsoonlift::configuration
