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
constexpr std::uint64_t before_cut = 3;
constexpr auto in_force_within = 17s;

/// Data centres take turns, so every other pair of them makes a region.
bool is_far(std::size_t index) {
    return index % data_centres >= data_centres / 2;
}

/// A fleet of which one region reaches neither the platform nor the other region.
struct cut_fleet {
    cut_fleet(std::size_t size, bool silent)
        : members(size), is_silent(silent), fleet(size, data_centres), highest(size, before_cut) {
        fleet.accept(before_cut);
        fleet.start();
        fleet.spread(before_cut);
    }

    void cut() {
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

    /// Runs on while no daemon goes back.
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

    /// How many daemons of one side have this revision.
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
    std::size_t went_back = 0;
};

struct cut_case {
    std::size_t members;
    std::chrono::seconds lasts;
    bool platform_is_silent; ///< To the far region; otherwise it refuses.
};

constexpr auto changes = 6;

void check_cut(const cut_case& one) {
    INFO(one.members << " members, platform silent: " << one.platform_is_silent);
    cut_fleet region(one.members, one.platform_is_silent);
    REQUIRE(region.fleet.count_at(before_cut) == one.members);
    region.cut();
    std::uint64_t revision = before_cut;
    for (int change = 0; change < changes; ++change) {
        region.fleet.accept(++revision);
        region.run_for(in_force_within);
        CHECK(region.count(false, revision) == one.members / 2);
        CHECK(region.count(true, before_cut) == one.members / 2);
        region.run_for(one.lasts / changes - in_force_within);
    }
    CHECK(region.count(true, before_cut) == one.members / 2);
    region.heal();
    const auto took = region.fleet.spread(revision);
    CHECK(took <= in_force_within);
    region.run_for(one.lasts / changes);
    CHECK(region.fleet.count_at(revision) == one.members);
    CHECK(region.went_back == 0);
    WARN(one.members << " members, platform silent: " << one.platform_is_silent
                     << ": the newest revision in force everywhere " << took.count() << " ms after a cut of "
                     << one.lasts.count() << " s between regions");
}

} // namespace

TEST_CASE("a region cut off for an hour keeps its revision and gets the newest when it is back",
          "[configuration][region]") {
    const cut_case cases[] = {{64, 1h, true}, {64, 1h, false}};
    for (const cut_case& one : cases) {
        check_cut(one);
    }
}

TEST_CASE("a region of 460 that was cut off gets the newest revision when it is back", "[.full]") {
    check_cut({920, 3min, true});
}
