#include "quota/lease.h"

#include "quota/quota_rules.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::quota;
using namespace std::chrono_literals;

namespace {

using kind = lease_step::kind;

const core::endpoint_id self{"10.0.0.1:7000", {5}};
const core::endpoint_id other{"10.0.0.2:7000", {7}};

core::boot_time at(std::chrono::milliseconds time) {
    return core::boot_time(1h + time);
}

lease_state new_lease() {
    lease_state lease;
    lease.self = self;
    return lease;
}

store::object stored(std::uint64_t version, const lease_record& record) {
    return {"quota/0", version, to_text(record)};
}

/// Performs the step due at `now`, which must be a read, with this result.
void read_at(lease_state& lease, std::chrono::milliseconds now, const std::optional<store::object>& found) {
    REQUIRE(next_step(lease, lease_interest::first, at(now)).what == kind::read);
    note_read(lease, found, at(now));
}

/// A lease that was gained with a write sent at 2000 ms.
lease_state held_lease() {
    auto lease = new_lease();
    for (const auto now : {0ms, 500ms, 1000ms, 1510ms}) {
        read_at(lease, now, std::nullopt);
    }
    const auto step = next_step(lease, lease_interest::first, at(2000ms));
    REQUIRE(step.what == kind::write);
    REQUIRE(step.expected_version == 0);
    note_written(lease, step, 10, at(2000ms), at(2010ms));
    return lease;
}

} // namespace

TEST_CASE("a lease record survives its text form, and other text is refused", "[lease]") {
    const lease_record record{other, 12, true};
    REQUIRE(parse_lease(to_text(record)) == record);
    REQUIRE_FALSE(parse_lease(""));
    REQUIRE_FALSE(parse_lease("lease1 10.0.0.2:7000 x 12 held"));
    REQUIRE_FALSE(parse_lease("lease9 10.0.0.2:7000 7 12 held"));
}

TEST_CASE("a missing lease is taken only after it was missing for its lifetime", "[lease]") {
    auto lease = new_lease();
    for (const auto now : {0ms, 500ms, 1000ms, 1500ms}) {
        read_at(lease, now, std::nullopt);
    }
    REQUIRE(next_step(lease, lease_interest::first, at(1500ms)).what == kind::none);
    read_at(lease, 2000ms, std::nullopt);
    REQUIRE(next_step(lease, lease_interest::first, at(2000ms)).what == kind::write);
}

TEST_CASE("a lease that is renewed is never taken over", "[lease]") {
    auto lease = new_lease();
    for (std::uint64_t round = 0; round < 20; ++round) {
        read_at(lease, 500ms * round, stored(round + 1, {other, round + 1, false}));
        REQUIRE(next_step(lease, lease_interest::first, at(500ms * round + 400ms)).what == kind::none);
    }
    REQUIRE(known_holder(lease, at(9600ms)) == other);
}

TEST_CASE("a daemon's own lease in a restored store counts as that of another", "[lease]") {
    auto lease = new_lease();
    read_at(lease, 0ms, stored(3, {self, 3, false}));
    REQUIRE(next_step(lease, lease_interest::first, at(100ms)).what == kind::none);
    REQUIRE_FALSE(holds(lease, at(100ms)));
}

TEST_CASE("a lease is valid from the moment its renewal was sent", "[lease]") {
    auto lease = held_lease();
    REQUIRE(lease.tenure == 1);
    REQUIRE(holds(lease, at(3499ms)));
    REQUIRE_FALSE(holds(lease, at(3500ms)));
    REQUIRE(next_step(lease, lease_interest::first, at(2400ms)).what == kind::none);
    const auto renewal = next_step(lease, lease_interest::first, at(2500ms));
    REQUIRE(renewal.what == kind::write);
    REQUIRE(renewal.expected_version == 10);
    note_written(lease, renewal, 11, at(2500ms), at(3400ms));
    REQUIRE(lease.tenure == 1);
    REQUIRE(holds(lease, at(3999ms)));
    REQUIRE_FALSE(holds(lease, at(4000ms)));
}

TEST_CASE("an answer that comes after the lease has expired begins a new tenure or none", "[lease]") {
    auto lease = held_lease();
    const auto renewal = next_step(lease, lease_interest::first, at(2500ms));
    note_written(lease, renewal, 11, at(2500ms), at(9000ms));
    REQUIRE_FALSE(holds(lease, at(9000ms)));
    // What was seen is older than the suspension may have been long, so it is read again first.
    REQUIRE(next_step(lease, lease_interest::first, at(9000ms)).what == kind::read);
}

TEST_CASE("a holder whose renewal failed reads and renews while it is valid", "[lease]") {
    auto lease = held_lease();
    REQUIRE(next_step(lease, lease_interest::first, at(2500ms)).what == kind::write);
    note_write_failed(lease);
    read_at(lease, 2600ms, std::nullopt);
    const auto again = next_step(lease, lease_interest::first, at(2610ms));
    REQUIRE(again.what == kind::write);
    REQUIRE(again.expected_version == 0);
}

TEST_CASE("the second candidate waits longer than the first", "[lease]") {
    auto lease = new_lease();
    const auto found = stored(4, {other, 4, false});
    for (auto now = 0ms; now <= 4000ms; now += 1000ms) {
        REQUIRE(next_step(lease, lease_interest::second, at(now)).what == kind::read);
        note_read(lease, found, at(now));
    }
    REQUIRE(next_step(lease, lease_interest::second, at(4000ms)).what == kind::none);
    REQUIRE(next_step(lease, lease_interest::second, at(5000ms)).what == kind::read);
    note_read(lease, found, at(5000ms));
    REQUIRE(next_step(lease, lease_interest::second, at(5050ms)).what == kind::write);
}

TEST_CASE("a release is followed at once only by a daemon that saw the holder before", "[lease]") {
    auto witness = new_lease();
    read_at(witness, 0ms, stored(8, {other, 8, false}));
    read_at(witness, 500ms, stored(9, {other, 9, true}));
    REQUIRE(next_step(witness, lease_interest::first, at(550ms)).what == kind::write);

    auto newcomer = new_lease();
    read_at(newcomer, 500ms, stored(9, {other, 9, true}));
    REQUIRE(next_step(newcomer, lease_interest::first, at(550ms)).what == kind::none);

    // The store was restored from a copy with an earlier release.
    auto restored = new_lease();
    read_at(restored, 0ms, stored(20, {other, 20, false}));
    read_at(restored, 500ms, stored(9, {other, 9, true}));
    REQUIRE(next_step(restored, lease_interest::first, at(550ms)).what == kind::none);
}

TEST_CASE("a planned stop releases the lease and grants nothing from then on", "[lease]") {
    auto lease = held_lease();
    const auto step = next_step(lease, lease_interest::leaving, at(2100ms));
    REQUIRE(step.what == kind::write);
    REQUIRE(step.record.released);
    REQUIRE_FALSE(holds(lease, at(2100ms)));
    note_write_failed(lease);
    REQUIRE(next_step(lease, lease_interest::leaving, at(2200ms)).what == kind::none);
}

TEST_CASE("reads that are too far apart don't prove that a lease stayed unchanged", "[lease]") {
    auto lease = new_lease();
    const auto found = stored(4, {other, 4, false});
    read_at(lease, 0ms, found);
    read_at(lease, 2000ms, found);
    REQUIRE(next_step(lease, lease_interest::first, at(2050ms)).what == kind::none);
}

TEST_CASE("after a restore of the store that is known, what was seen before proves nothing", "[lease]") {
    auto lease = new_lease();
    for (const auto now : {0ms, 500ms, 1000ms, 1510ms}) {
        read_at(lease, now, std::nullopt);
    }
    forget_sighting(lease);
    REQUIRE(next_step(lease, lease_interest::first, at(1600ms)).what == kind::none);
}
