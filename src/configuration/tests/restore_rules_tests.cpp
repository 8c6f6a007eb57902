// Guards against a read of a restored store that counts as a proof in a daemon that can't know what had been
// accepted before the restore, so that keys that were taken away work again (CONFIG).
#include "configuration/freshness_rules.h"
#include "configuration/restore_rules.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::configuration;
using namespace std::chrono_literals;

namespace {

const core::boot_time start{1h};
const freshness_rule rule = freshness_rule_within(5s);

/// What a daemon knows that has read the store of this era, and had a proof just now.
restore_knowledge following(std::uint64_t era) {
    restore_knowledge known;
    known.highest = 7;
    known.known_era = era;
    note_era(known, rule, era, start);
    note_covered(known, start);
    return known;
}

freshness_answer answer_knowing(std::uint64_t era) {
    freshness_answer answer;
    answer.question = 1;
    answer.revision = 7;
    answer.accepted = 9;
    answer.known_era = era;
    return answer;
}

} // namespace

TEST_CASE("a store that was never restored, or tells no era, proves what it shows", "[restore]") {
    restore_knowledge known;
    CHECK(reads_prove(known));
    note_era(known, rule, 1, start);
    CHECK(reads_prove(known));
}

TEST_CASE("a daemon that starts after a restore takes no read for a proof", "[restore]") {
    restore_knowledge known;
    note_era(known, rule, 2, start);
    CHECK_FALSE(reads_prove(known));
    note_told(known, answer_knowing(0));
    CHECK_FALSE(reads_prove(known));
    note_told(known, answer_knowing(1));
    CHECK_FALSE(reads_prove(known));
    note_told(known, answer_knowing(2));
    CHECK(reads_prove(known));
    CHECK(known.highest == 9);
}

TEST_CASE("what another daemon knows counts also if it is heard before the store", "[restore]") {
    restore_knowledge known;
    note_told(known, answer_knowing(3));
    note_era(known, rule, 3, start);
    CHECK(reads_prove(known));
}

TEST_CASE("a daemon whose knowledge was recent has lived through a restore", "[restore]") {
    auto known = following(1);
    note_era(known, rule, 2, start + rule.late_after);
    CHECK(reads_prove(known));
    note_era(known, rule, 3, start + rule.late_after);
    CHECK(reads_prove(known));
}

TEST_CASE("a daemon that was cut off or suspended has not lived through a restore", "[restore]") {
    auto known = following(1);
    note_era(known, rule, 2, start + rule.late_after + 1ms);
    CHECK_FALSE(reads_prove(known));
    note_era(known, rule, 3, start + rule.late_after + 2ms);
    CHECK_FALSE(reads_prove(known));
    note_told(known, answer_knowing(2));
    CHECK_FALSE(reads_prove(known));
}

TEST_CASE("the wait for a daemon that knows ends, later for one that never had a proof", "[restore]") {
    restore_knowledge fresh;
    note_era(fresh, rule, 2, start);
    CHECK_FALSE(end_wait(fresh, rule, start + rule.bound - 1ms));
    CHECK(end_wait(fresh, rule, start + rule.bound));
    CHECK_FALSE(end_wait(fresh, rule, start + rule.bound));
    CHECK(reads_prove(fresh));

    auto cut_off = following(1);
    const auto back = start + 1min;
    note_era(cut_off, rule, 2, back);
    CHECK_FALSE(end_wait(cut_off, rule, back + rule.bound / 2 - 1ms));
    CHECK(end_wait(cut_off, rule, back + rule.bound / 2));
}
