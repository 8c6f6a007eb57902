#include "membership/tests/model_region_fleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <string>

using namespace monsoonlift::membership;
using namespace monsoonlift::membership::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seed = 920;
constexpr std::size_t spares = 3;
constexpr double bytes_per_second_bound = 3 * 1024;
constexpr std::chrono::seconds settling{62};
constexpr std::chrono::seconds look_interval{10};

struct fault_case {
    const char* what;
    void (*begin)(model_region_fleet&);
    void (*meanwhile)(model_region_fleet&); ///< Called halfway through the fault; may be null.
    std::chrono::seconds lasts;
    void (*end)(model_region_fleet&);
    std::chrono::seconds
        avoided_within; ///< Until no connected member sends new work to a member that is gone.
    std::optional<std::chrono::seconds>
        told_within; ///< Until the tables of a disconnected rack are right; empty for not checked.
    std::chrono::seconds whole_within; ///< From the end of the fault until all tables are equal and right.
};

void heal(model_region_fleet& region) {
    region.fleet.cut = nullptr;
    region.few_cut_off = false;
}

void lose_rack(model_region_fleet& region) {
    region.stop([&](std::size_t index) { return region.where.is_in_first_rack(index); });
}

void cut_rack_off(model_region_fleet& region) {
    region.few_cut_off = true;
    region.fleet.cut = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_rack(from, to);
    };
}

void silence_rack(model_region_fleet& region) {
    region.few_cut_off = true;
    region.fleet.cut = [where = region.where](std::size_t from, std::size_t to) {
        return where.is_in_first_rack(from) && !where.is_in_first_rack(to);
    };
}

void lose_data_centre(model_region_fleet& region) {
    region.stop([&](std::size_t index) { return region.where.data_centre_of(index) == 1; });
}

void restart_data_centre(model_region_fleet& region) {
    for (std::size_t index = 0; index < region.where.members; ++index) {
        if (region.where.data_centre_of(index) == 1) {
            region.fleet.restart(index, region.where.members - 1 - index);
        }
    }
}

void cut_regions(model_region_fleet& region) {
    region.fleet.cut = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to);
    };
}

/// Skips the rest of a fault of ten minutes, in which nothing changes, and reconnects the rack.
void join_rack_after_ten_minutes(model_region_fleet& region) {
    region.fleet.skip(7min);
    region.run(5s);
    heal(region);
}

/// VMs fail, join and drain on both sides while the regions are partitioned.
void replace_some(model_region_fleet& region) {
    const std::size_t members = region.where.members;
    for (const std::size_t dying : {std::size_t{1}, std::size_t{2}, members - 1}) {
        region.fleet.at(dying).running = false;
    }
    for (std::size_t spare = members; spare < members + spares; ++spare) {
        region.fleet.restart(spare, region.where.region_of(spare) == 0 ? 7 : members - 7);
    }
    for (const std::size_t draining : {std::size_t{10}, members - 10}) {
        auto& state = region.fleet.at(draining).state;
        region.fleet.send(draining, announce_self(state, state.self.service, true, member_status::alive));
    }
}

/// Skips the rest of a fault of one hour, in which nothing changes, and reconnects the regions.
void join_regions_after_an_hour(model_region_fleet& region) {
    region.fleet.skip(56min);
    region.run(5s);
    heal(region);
}

void lose_between_regions(model_region_fleet& region) {
    region.fleet.latency = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to) ? 4ms + std::chrono::microseconds((from * 31 + to) % 1000)
                                               : 0us;
    };
    region.fleet.lost = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to) ? 0.05 : 0.0;
    };
}

constexpr fault_case cases[] = {
    {"a rack goes for good", lose_rack, nullptr, 1min, heal, 20s, 10s, 10s},
    {"a switch goes and comes back", cut_rack_off, nullptr, 3min, join_rack_after_ten_minutes, 20s,
     std::nullopt, 600s},
    {"a rack is heard by nobody", silence_rack, nullptr, 2min, heal, 20s, std::nullopt, 600s},
    {"a data centre goes and comes back", lose_data_centre, nullptr, 2min, restart_data_centre, 120s, 10s,
     420s},
    {"the regions lose each other for an hour", cut_regions, replace_some, 4min, join_regions_after_an_hour,
     180s, 10s, 600s},
    {"a twentieth is lost between the regions", lose_between_regions, nullptr, 1min, heal, 10s, 10s, 10s},
};

/// How long after the last change the member tables were right at every check.
struct beliefs_right {
    std::chrono::seconds avoided{look_interval};
    std::chrono::seconds told{look_interval};
    std::size_t doubted = 0; ///< Checks in which a connected member considered a reachable one dead.
};

beliefs_right watch(model_region_fleet& region, const fault_case& one) {
    beliefs_right right;
    auto since_change = 0s;
    for (auto passed = 0s; passed < one.lasts; passed += look_interval) {
        if (one.meanwhile != nullptr && passed == one.lasts / 2) {
            one.meanwhile(region);
            since_change = 0s;
        }
        region.run(look_interval);
        since_change += look_interval;
        right.doubted += region.dead_though_reached() > 0 ? 1U : 0U;
        const bool is_used = region.used_though_gone() > 0;
        const bool is_wrong = region.used_though_gone(true) + region.dead_though_reached(true) > 0;
        right.avoided = std::max(right.avoided, is_used ? since_change + look_interval : 0s);
        right.told = std::max(right.told, is_wrong ? since_change + look_interval : 0s);
    }
    return right;
}

void check_fault(std::size_t members, const fault_case& one) {
    INFO(one.what << ", " << members << " members, seed " << seed);
    model_region_fleet region({members}, seed, spares);
    region.run(settling);
    one.begin(region);
    const beliefs_right right = watch(region, one);
    CHECK(right.doubted == 0);
    CHECK(right.avoided <= one.avoided_within);
    CHECK((!one.told_within || right.told <= *one.told_within));
    one.end(region);
    const auto whole = region.run(one.whole_within, [&] { return region.is_whole(); });
    CHECK(whole <= static_cast<std::size_t>(one.whole_within.count()));
    region.run(std::chrono::seconds(model_region_fleet::window_s));
    CHECK(region.is_whole());
    CHECK(region.dead_though_reached() == 0);
    CHECK(region.used_though_gone() == 0);
    CHECK(region.worst_minute < bytes_per_second_bound);
    CHECK(region.largest_table() <= members + spares);
    WARN(one.what << ", " << members << " members: gone avoided by all within " << right.avoided.count()
                  << " s, those cut off believe right after " << right.told.count() << " s, whole " << whole
                  << " s after the end; B/s of the worst member in its worst minute " << region.worst_minute
                  << ", of an average one " << region.mean_minute << ", worst second "
                  << region.worst_second);
}

} // namespace

TEST_CASE("member tables stay wrong after a rack, data centre or region fails or returns, 184 members",
          "[swim][region][scale]") {
    for (const fault_case& one : cases) {
        check_fault(184, one);
    }
}

TEST_CASE("member tables stay wrong after a rack, data centre or region fails or returns, 920 members",
          "[.full]") {
    const char* const wanted = std::getenv("MONSOONLIFT_FAULT");
    for (const fault_case& one : cases) {
        if (wanted == nullptr || std::string(one.what).find(wanted) != std::string::npos) {
            check_fault(920, one);
        }
    }
}
