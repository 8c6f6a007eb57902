#pragma once

#include "membership/tests/model_fleet.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <random>
#include <vector>

namespace monsoonlift::membership::testing {

/// Placement of members: 2 regions, 4 data centres, racks of 20. Indices from `members` on are VMs that start
/// later, assigned to the data centres round-robin.
struct topology {
    static constexpr std::size_t data_centres = 4;
    static constexpr std::size_t per_rack = 20;

    std::size_t members = 920;

    std::size_t data_centre_of(std::size_t index) const {
        return index < members ? index * data_centres / members : index % data_centres;
    }
    std::size_t region_of(std::size_t index) const { return data_centre_of(index) * 2 / data_centres; }
    bool is_in_first_rack(std::size_t index) const { return index < per_rack; }
    bool crosses_regions(std::size_t from, std::size_t to) const { return region_of(from) != region_of(to); }
    bool crosses_rack(std::size_t from, std::size_t to) const {
        return is_in_first_rack(from) != is_in_first_rack(to);
    }
};

using member_filter = std::function<bool(std::size_t index)>;

/// A simulated fleet of that topology; measures the traffic per second and compares the member tables with
/// the actual state.
class model_region_fleet {
public:
    static constexpr std::size_t window_s = 60;

    /// `spares` is the number of VMs that aren't started yet.
    model_region_fleet(topology places, std::uint64_t seed, std::size_t spares)
        : where(places), fleet(places.members + spares, seed), m_windows(fleet.size()) {
        fleet.through_codec = false;
        fleet.introduce(places.members);
    }

    /// Runs in steps of 1 s until `done` returns true; returns the seconds that took, or `bound` + 1 if it
    /// didn't.
    std::size_t run(std::chrono::seconds bound, const std::function<bool()>& done = nullptr) {
        for (std::size_t second = 0; second < static_cast<std::size_t>(bound.count()); ++second) {
            if (done && done()) {
                return second;
            }
            fleet.run(std::chrono::seconds(1));
            meter();
        }
        return done && done() ? static_cast<std::size_t>(bound.count())
                              : static_cast<std::size_t>(bound.count()) + 1;
    }

    void stop(const member_filter& which) {
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (which(index)) {
                fleet.at(index).running = false;
            }
        }
    }

    /// Counts the pairs of members for which the first is running, its record of the second satisfies
    /// `condition`, and `pair` holds.
    std::size_t count_pairs(const std::function<bool(const member&)>& condition,
                            const std::function<bool(std::size_t from, std::size_t of)>& pair) {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (!fleet.at(index).running) {
                continue;
            }
            for (const auto& [address, tracked] : fleet.at(index).state.members) {
                if (condition(tracked.value) &&
                    pair(index, fleet.index_of(tracked.value.membership_address))) {
                    ++count;
                }
            }
        }
        return count;
    }

    /// True if datagrams pass in both directions.
    bool reaches(std::size_t from, std::size_t of) const {
        return !fleet.is_partitioned || (!fleet.is_partitioned(from, of) && !fleet.is_partitioned(of, from));
    }

    /// True if the fault has disconnected a single rack and the member is in it.
    bool is_disconnected(std::size_t index) const {
        return rack_disconnected && where.is_in_first_rack(index);
    }

    /// Counts the pairs for which the first member considers the second alive, although it's stopped or
    /// unreachable, and so sends it new work. Only disconnected first members count if `of_disconnected` is
    /// true, only the others if not.
    std::size_t count_alive_though_gone(bool of_disconnected = false) {
        return count_pairs([](const member& one) { return one.status == member_status::alive; },
                           [&](std::size_t from, std::size_t of) {
                               return is_disconnected(from) == of_disconnected &&
                                      (!fleet.at(of).running || !reaches(from, of));
                           });
    }

    /// Counts the pairs for which the first member considers the second dead or left, although it's running
    /// and reachable. `of_disconnected` as in count_alive_though_gone().
    std::size_t count_dead_though_reachable(bool of_disconnected = false) {
        return count_pairs([](const member& one) { return !is_present(one); },
                           [&](std::size_t from, std::size_t of) {
                               return is_disconnected(from) == of_disconnected && fleet.at(of).running &&
                                      reaches(from, of);
                           });
    }

    /// True if all running members have equal tables, in which exactly the running members are alive.
    bool is_converged() {
        const auto running = static_cast<std::size_t>(count_running());
        std::uint64_t digest = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            const swim_state& state = fleet.at(index).state;
            if (!fleet.at(index).running) {
                continue;
            }
            const auto present =
                1 + std::count_if(state.members.begin(), state.members.end(), [](const auto& entry) {
                    return entry.second.value.status == member_status::alive;
                });
            digest = digest == 0 ? table_digest(state) : digest;
            if (static_cast<std::size_t>(present) != running || table_digest(state) != digest) {
                return false;
            }
        }
        return true;
    }

    std::size_t count_running() {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            count += fleet.at(index).running ? 1U : 0U;
        }
        return count;
    }

    /// Number of records in the largest member table.
    std::size_t largest_table() {
        std::size_t largest = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            largest = std::max(largest, fleet.at(index).state.members.size());
        }
        return largest;
    }

    topology where;
    bool rack_disconnected = false; ///< True while the first rack is disconnected.
    model_fleet fleet;
    double worst_minute = 0; ///< Largest bytes per second of any member, averaged over a minute.
    double worst_second = 0; ///< Largest bytes of any member in one second.
    double mean_minute = 0;  ///< Mean bytes per second of all members in the fleet's busiest minute.

private:
    void meter() {
        double sum = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            auto& node = fleet.at(index);
            static_cast<void>(take_changes(node.state));
            auto& window = m_windows[index];
            window.push_back(node.bytes);
            if (window.size() > 1) {
                worst_second = std::max(worst_second, static_cast<double>(window.back() - window.end()[-2]));
            }
            if (window.size() > window_s + 1) {
                window.pop_front();
            }
            if (window.size() == window_s + 1) {
                const double rate = static_cast<double>(window.back() - window.front()) / window_s;
                worst_minute = std::max(worst_minute, rate);
                sum += rate;
            }
        }
        mean_minute = std::max(mean_minute, sum / static_cast<double>(fleet.size()));
    }

    std::vector<std::deque<std::uint64_t>> m_windows;
};

} // namespace monsoonlift::membership::testing
