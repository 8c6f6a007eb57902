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
constexpr std::chrono::seconds check_interval{10};

struct fault_case {
    const char* name;
    void (*begin)(model_region_fleet&);
    void (*meanwhile)(model_region_fleet&); ///< Called halfway through the fault; may be null.
    std::chrono::seconds lasts;
    void (*end)(model_region_fleet&);
    std::chrono::seconds avoided_within; ///< Until connected members send gone ones no new work.
    std::optional<std::chrono::seconds>
        rack_right_within; ///< Until the tables of a disconnected rack are right; empty if they never are.
    std::chrono::seconds converged_within; ///< From the fault's end until all tables are right.
};

void heal(model_region_fleet& region) {
    region.fleet.is_partitioned = nullptr;
    region.rack_disconnected = false;
}

void stop_rack(model_region_fleet& region) {
    region.stop([&](std::size_t index) { return region.where.is_in_first_rack(index); });
}

void disconnect_rack(model_region_fleet& region) {
    region.rack_disconnected = true;
    region.fleet.is_partitioned = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_rack(from, to);
    };
}

void silence_rack(model_region_fleet& region) {
    region.rack_disconnected = true;
    region.fleet.is_partitioned = [where = region.where](std::size_t from, std::size_t to) {
        return where.is_in_first_rack(from) && !where.is_in_first_rack(to);
    };
}

void stop_data_centre(model_region_fleet& region) {
    region.stop([&](std::size_t index) { return region.where.data_centre_of(index) == 1; });
}

void restart_data_centre(model_region_fleet& region) {
    for (std::size_t index = 0; index < region.where.members; ++index) {
        if (region.where.data_centre_of(index) == 1) {
            region.fleet.restart(index, region.where.members - 1 - index);
        }
    }
}

void partition_regions(model_region_fleet& region) {
    region.fleet.is_partitioned = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to);
    };
}

/// Skips the rest of a fault of ten minutes, in which nothing changes, and reconnects the rack.
void reconnect_rack_after_ten_minutes(model_region_fleet& region) {
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
void reconnect_regions_after_an_hour(model_region_fleet& region) {
    region.fleet.skip(56min);
    region.run(5s);
    heal(region);
}

void lose_datagrams_between_regions(model_region_fleet& region) {
    region.fleet.latency = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to) ? 4ms + std::chrono::microseconds((from * 31 + to) % 1000)
                                               : 0us;
    };
    region.fleet.loss_by_link = [where = region.where](std::size_t from, std::size_t to) {
        return where.crosses_regions(from, to) ? 0.05 : 0.0;
    };
}

constexpr fault_case cases[] = {
    {"a rack goes for good", stop_rack, nullptr, 1min, heal, 20s, 10s, 10s},
    {"a switch goes and comes back", disconnect_rack, nullptr, 3min, reconnect_rack_after_ten_minutes, 20s,
     std::nullopt, 600s},
    {"a rack is heard by nobody", silence_rack, nullptr, 2min, heal, 20s, std::nullopt, 600s},
    {"a data centre goes and comes back", stop_data_centre, nullptr, 2min, restart_data_centre, 120s, 10s,
     420s},
    {"the regions lose each other for an hour", partition_regions, replace_some, 4min,
     reconnect_regions_after_an_hour, 180s, 10s, 600s},
    {"a twentieth is lost between the regions", lose_datagrams_between_regions, nullptr, 1min, heal, 10s, 10s,
     10s},
};

/// How long after the last change the member tables were right at every check.
struct convergence {
    std::chrono::seconds avoided{check_interval};
    std::chrono::seconds rack_right{check_interval};
    std::size_t checks_with_false_death = 0; ///< Checks that found a reachable member considered dead.
};

convergence watch(model_region_fleet& region, const fault_case& fault) {
    convergence right;
    auto since_change = 0s;
    for (auto passed = 0s; passed < fault.lasts; passed += check_interval) {
        if (fault.meanwhile != nullptr && passed == fault.lasts / 2) {
            fault.meanwhile(region);
            since_change = 0s;
        }
        region.run(check_interval);
        since_change += check_interval;
        right.checks_with_false_death += region.count_dead_though_reachable() > 0 ? 1U : 0U;
        const bool is_used = region.count_alive_though_gone() > 0;
        const bool is_wrong =
            region.count_alive_though_gone(true) + region.count_dead_though_reachable(true) > 0;
        right.avoided = std::max(right.avoided, is_used ? since_change + check_interval : 0s);
        right.rack_right = std::max(right.rack_right, is_wrong ? since_change + check_interval : 0s);
    }
    return right;
}

void check_fault(std::size_t members, const fault_case& fault) {
    INFO(fault.name << ", " << members << " members, seed " << seed);
    model_region_fleet region({members}, seed, spares);
    region.run(settling);
    fault.begin(region);
    const convergence right = watch(region, fault);
    CHECK(right.checks_with_false_death == 0);
    CHECK(right.avoided <= fault.avoided_within);
    CHECK((!fault.rack_right_within || right.rack_right <= *fault.rack_right_within));
    fault.end(region);
    const auto converged = region.run(fault.converged_within, [&] { return region.is_converged(); });
    CHECK(converged <= static_cast<std::size_t>(fault.converged_within.count()));
    region.run(std::chrono::seconds(model_region_fleet::window_s));
    CHECK(region.is_converged());
    CHECK(region.count_dead_though_reachable() == 0);
    CHECK(region.count_alive_though_gone() == 0);
    CHECK(region.worst_minute < bytes_per_second_bound);
    CHECK(region.largest_table() <= members + spares);
    WARN(fault.name << ", " << members << " members: no new work to gone members after "
                    << right.avoided.count() << " s, tables of a disconnected rack right after "
                    << right.rack_right.count() << " s, all tables right " << converged
                    << " s after the end; B/s of the busiest member in its busiest minute "
                    << region.worst_minute << ", of an average one " << region.mean_minute
                    << ", busiest second " << region.worst_second);
}

} // namespace

TEST_CASE("member tables stay wrong after a rack, data centre or region fails or returns, 184 members",
          "[swim][region][scale]") {
    for (const fault_case& fault : cases) {
        check_fault(184, fault);
    }
}

TEST_CASE("member tables stay wrong after a rack, data centre or region fails or returns, 920 members",
          "[.full]") {
    const char* const filter = std::getenv("MONSOONLIFT_FAULT");
    for (const fault_case& fault : cases) {
        if (filter == nullptr || std::string(fault.name).find(filter) != std::string::npos) {
            check_fault(920, fault);
        }
    }
}
