#include "execution/home_table.h"

#include "execution/home_directory.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace monsoonlift::execution;
using monsoonlift::core::endpoint_id;
using monsoonlift::core::wall_time;
using namespace std::chrono_literals;

namespace {

const endpoint_id first{"10.0.0.1:7000", {10}};
const endpoint_id second{"10.0.0.2:7000", {11}};
const endpoint_id third{"10.0.0.3:7000", {12}};
constexpr wall_time now{1'700'000'000'000ms};

home_view view_of(const endpoint_id& self) {
    home_view view;
    view.self = self;
    return view;
}

std::size_t held(const home_table& table, const endpoint_id& holder) {
    return static_cast<std::size_t>(
        std::count_if(table.slots.begin(), table.slots.end(),
                      [&](const home_slot& slot) { return slot.holder == holder; }));
}

/// Applies the change that propose() returns for the view, as if it had been written.
void write_all(home_view& view, const std::vector<endpoint_id>& others, bool leaves, wall_time time) {
    const auto proposed = propose(view, others, leaves, time);
    if (!proposed) {
        return;
    }
    begin_write(view, *proposed);
    confirm_write(view, view.table.version + 1);
}

} // namespace

TEST_CASE("a serialized home table parses to the same table", "[home_table]") {
    home_table table;
    table.slots[3] = {first, now};
    const auto read = read_homes(write_homes(table), 7);
    REQUIRE(read.has_value());
    CHECK(read->version == 7);
    CHECK(read->slots == table.slots);
}

TEST_CASE("malformed home tables are rejected", "[home_table]") {
    for (const char* text : {"", "{}", "[]", R"({"slots":[]})", R"({"slots":7})"}) {
        CHECK_FALSE(read_homes(text, 1).has_value());
    }
}

TEST_CASE("the first gate claims every slot and gives later gates their share", "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {}, false, now);
    CHECK(held(one.table, first) == home_slots);
    CHECK(std::all_of(one.table.slots.begin(), one.table.slots.end(),
                      [](const home_slot& slot) { return slot.seen_until == wall_time{}; }));

    one.last_begun[0] = now + 1s;
    write_all(one, {second}, false, now + 2s);
    CHECK(held(one.table, first) == home_slots / 2);
    CHECK(held(one.table, second) == home_slots / 2);
    for (std::size_t slot = 0; slot < home_slots; ++slot) {
        const bool was_used = slot == 0 && one.table.slots[slot].holder == second;
        CHECK(one.table.slots[slot].seen_until == (was_used ? now + 1s : wall_time{}));
    }

    write_all(one, {second, third}, false, now + 3s);
    home_view two = view_of(second);
    adopt(two, one.table);
    write_all(two, {first, third}, false, now + 3s);
    for (const endpoint_id& gate : {first, second, third}) {
        CHECK(held(two.table, gate) >= home_slots / 3);
        CHECK(held(two.table, gate) <= home_slots / 3 + 1);
    }
    CHECK_FALSE(propose(two, {first, third}, false, now).has_value());
}

TEST_CASE("the first writer of a home table distributes all slots among the gates", "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {second, third}, false, now);
    CHECK(held(one.table, first) == 22);
    CHECK(held(one.table, second) == 21);
    CHECK(held(one.table, third) == 21);
    for (const home_slot& slot : one.table.slots) {
        CHECK(slot.seen_until == wall_time{});
    }
}

TEST_CASE(
    "a slot with recent opaque keys is not given away until callers stop resending them or the gate leaves",
    "[home_table]") {
    home_view one = view_of(first);
    one.table.version = 1;
    write_all(one, {}, false, now);
    REQUIRE(held(one.table, first) == home_slots);
    one.opaque_refusal_time = 10min;
    one.last_opaque_begun.fill(now);
    one.last_begun.fill(now);
    CHECK_FALSE(propose(one, {second}, false, now + 10min).has_value());
    const auto later = propose(one, {second}, false, now + 10min + 1ms);
    REQUIRE(later.has_value());
    CHECK(held(*later, second) == home_slots / 2);
    one.last_opaque_begun[0] = {};
    const auto one_given_away = propose(one, {second}, false, now + 1min);
    REQUIRE(one_given_away.has_value());
    CHECK(held(*one_given_away, second) == 1);
    const auto leaving = propose(one, {second}, true, now);
    REQUIRE(leaving.has_value());
    CHECK(held(*leaving, second) == home_slots);
}

TEST_CASE("a gate does not take over another gate's slots, even if that gate is dead", "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {}, false, now);
    home_view two = view_of(second);
    adopt(two, one.table);
    CHECK_FALSE(propose(two, {}, false, now).has_value());
}

TEST_CASE(
    "a later incarnation takes over the slots and records when the earlier one may last have received keys",
    "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {}, false, now);
    home_view restarted = view_of({first.address, {20}});
    adopt(restarted, one.table);
    CHECK_FALSE(holds(restarted, 0));
    write_all(restarted, {}, false, now + 5s);
    CHECK(holds(restarted, 0));
    CHECK(restarted.table.slots[0].seen_until == now + 5s);

    home_view earlier = view_of({first.address, {1}});
    adopt(earlier, restarted.table);
    CHECK_FALSE(propose(earlier, {}, false, now).has_value());
}

TEST_CASE("a leaving gate gives all its slots to the other gates, or frees them if there are none",
          "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {}, false, now);
    write_all(one, {second, third}, true, now);
    CHECK(held(one.table, first) == 0);
    CHECK(held(one.table, second) == home_slots / 2);
    CHECK(held(one.table, third) == home_slots / 2);

    home_view alone = view_of(first);
    write_all(alone, {}, false, now);
    alone.last_begun[5] = now + 1s;
    write_all(alone, {}, true, now + 2s);
    CHECK(held(alone.table, endpoint_id{}) == home_slots);
    CHECK(alone.table.slots[5].seen_until == now + 1s);
}

TEST_CASE("a slot that a pending write gives away is not held until the write is settled", "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {}, false, now);
    const auto proposed = propose(one, {second}, false, now);
    REQUIRE(proposed.has_value());
    begin_write(one, *proposed);
    std::size_t changing = 0;
    for (std::size_t slot = 0; slot < home_slots; ++slot) {
        changing += is_changing(one, slot) ? 1 : 0;
        CHECK(holds(one, slot) != is_changing(one, slot));
    }
    CHECK(changing == home_slots / 2);

    home_table read = one.table;
    adopt(one, read); // the write may still take effect
    CHECK(one.pending.has_value());
    read.version += 1; // a later version: the write can no longer take effect
    adopt(one, read);
    CHECK_FALSE(one.pending.has_value());
    CHECK(holds(one, 0));
}

TEST_CASE("a table older than the current one is ignored", "[home_table]") {
    home_view one = view_of(first);
    home_table newer;
    newer.version = 5;
    newer.slots[0].holder = second;
    adopt(one, newer);
    home_table older = newer;
    older.version = 4;
    older.slots[0].holder = first;
    adopt(one, older);
    CHECK_FALSE(holds(one, 0));
}

TEST_CASE("slots of a destroyed VM are free for other gates once an operator has fenced it", "[home_table]") {
    home_view one = view_of(first);
    write_all(one, {second}, false, now);
    const home_table fenced = fence_holder(one.table, first.address, now + 1s);
    CHECK(held(fenced, first) == 0);
    CHECK(held(fenced, second) == held(one.table, second));
    home_view two = view_of(second);
    home_table read = fenced;
    read.version = 9;
    adopt(two, read);
    write_all(two, {}, false, now + 2s);
    CHECK(held(two.table, second) == home_slots);
    const auto taken = std::find_if(two.table.slots.begin(), two.table.slots.end(),
                                    [](const home_slot& slot) { return slot.seen_until == now + 1s; });
    CHECK(taken != two.table.slots.end());
}

TEST_CASE("an entry caches the homes from gates' answers and ignores earlier versions", "[home_directory]") {
    home_directory directory;
    CHECK_FALSE(directory.find("squadre", "k").has_value());
    directory.learn("squadre", "k", {first, 5});
    directory.learn("squadre", "k", {second, 4});
    CHECK(directory.find("squadre", "k")->gate == first);
    CHECK_FALSE(directory.find("archivio", "k").has_value());
    directory.learn("squadre", "k", {second, 6});
    directory.forget("squadre", "k", first);
    CHECK(directory.find("squadre", "k")->gate == second);
    directory.forget("squadre", "k", second);
    CHECK_FALSE(directory.find("squadre", "k").has_value());
}
