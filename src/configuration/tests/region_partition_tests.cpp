#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

#include <catch2/catch.hpp>

#include "configuration/tests/small_fleet.h"

using namespace std::chrono_literals;
using namespace monsoonlift::configuration;
using tests::small_fleet;

namespace {

constexpr std::size_t data_centres = 4;
constexpr std::uint64_t revision_before = 3;
constexpr auto in_force_within = 17s;

/// Whether a daemon is in the partitioned region. small_fleet assigns daemons to data centres round-robin;
/// the second half of the data centres is this region.
bool is_far(std::size_t index) {
    return index % data_centres >= data_centres / 2;
}

/// A fleet of two regions, one of which can lose its connections to the platform and to the other region.
struct partitioned_fleet {
    partitioned_fleet(std::size_t size, bool silent)
        : members(size), is_silent(silent), fleet(size, data_centres), highest(size, revision_before) {
        fleet.accept(revision_before);
        fleet.start();
        fleet.spread(revision_before);
    }

    void partition() {
        fleet.can_probe = [](std::size_t from, std::size_t to) {
            return is_far(from) == is_far(to);
        };
        set_far_outage(true);
    }

    void heal() {
        fleet.can_probe = nullptr;
        set_far_outage(false);
    }

    void set_far_outage(bool outage) {
        for (std::size_t index = 0; index < members; ++index) {
            if (is_far(index)) {
                fleet.daemons[index]->api.set_outage(outage, is_silent);
            }
        }
    }

    /// Advances the clock and counts the daemons whose revision decreased.
    void run_for(std::chrono::seconds span) {
        for (auto passed = 0s; passed < span; passed += 1s) {
            fleet.run_for(1s);
            for (std::size_t index = 0; index < members; ++index) {
                const std::uint64_t revision = fleet.daemons[index]->holder.revision();
                went_back += revision < highest[index] ? 1U : 0U;
                highest[index] = std::max(highest[index], revision);
            }
        }
    }

    /// Counts the daemons of one region that have this revision in force.
    std::size_t count(bool far, std::uint64_t revision) const {
        std::size_t found = 0;
        for (std::size_t index = 0; index < members; ++index) {
            found += is_far(index) == far && fleet.daemons[index]->holder.revision() == revision ? 1U : 0U;
        }
        return found;
    }

    std::size_t members;
    bool is_silent;
    small_fleet fleet;
    std::vector<std::uint64_t> highest;
    std::size_t went_back = 0; ///< Number of times that a revision was lower than before.
};

struct partition_case {
    std::size_t members;
    std::chrono::seconds lasts; ///< Duration of the partition.
    bool platform_is_silent;    ///< Calls of the far region time out; otherwise they are refused.
};

constexpr auto changes = 6;

void check_partition(const partition_case& tested) {
    INFO(tested.members << " members, platform silent: " << tested.platform_is_silent);
    partitioned_fleet region(tested.members, tested.platform_is_silent);
    REQUIRE(region.fleet.count_at(revision_before) == tested.members);
    region.partition();
    std::uint64_t revision = revision_before;
    for (int change = 0; change < changes; ++change) {
        region.fleet.accept(++revision);
        region.run_for(in_force_within);
        CHECK(region.count(false, revision) == tested.members / 2);
        CHECK(region.count(true, revision_before) == tested.members / 2);
        region.run_for(tested.lasts / changes - in_force_within);
    }
    CHECK(region.count(true, revision_before) == tested.members / 2);
    region.heal();
    const auto took = region.fleet.spread(revision);
    CHECK(took <= in_force_within);
    region.run_for(tested.lasts / changes);
    CHECK(region.fleet.count_at(revision) == tested.members);
    CHECK(region.went_back == 0);
    WARN(tested.members << " members, platform silent: " << tested.platform_is_silent
                        << ": the newest revision in force everywhere " << took.count()
                        << " ms after a partition of " << tested.lasts.count() << " s between regions");
}

} // namespace

TEST_CASE("a region partitioned for an hour keeps its revision and adopts the newest one afterwards",
          "[configuration][region]") {
    const partition_case cases[] = {{64, 1h, true}, {64, 1h, false}};
    for (const partition_case& tested : cases) {
        check_partition(tested);
    }
}

TEST_CASE("a region of 460 daemons adopts the newest revision after a partition", "[.full]") {
    check_partition({920, 3min, true});
}
