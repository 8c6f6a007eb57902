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

/// Where members stand: 2 regions, 4 data centres, racks of 20. Members beyond `members` are VMs to come,
/// spread over the data centres in turn.
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

/// A fleet of that topology in virtual time, with what it costs and what it believes, second by second.
class model_region_fleet {
public:
    static constexpr std::size_t window_s = 60;

    /// `spares` are VMs that don't run yet.
    model_region_fleet(topology places, std::uint64_t seed, std::size_t spares)
        : where(places), fleet(places.members + spares, seed), m_windows(fleet.size()) {
        fleet.through_codec = false;
        fleet.introduce(places.members);
    }

    /// Runs by whole seconds until `done` holds; the seconds it took, or `bound` and one more.
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

    /// How many pairs of running members there are of which the first believes `belief` of the second, and
    /// `pair` holds.
    std::size_t count_beliefs(const std::function<bool(const member&)>& belief,
                              const std::function<bool(std::size_t from, std::size_t of)>& pair) {
        std::size_t count = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            if (!fleet.at(index).running) {
                continue;
            }
            for (const auto& [address, tracked] : fleet.at(index).state.members) {
                if (belief(tracked.value) && pair(index, fleet.index_of(tracked.value.membership_address))) {
                    ++count;
                }
            }
        }
        return count;
    }

    /// Whether the two hear each other.
    bool reaches(std::size_t from, std::size_t of) const {
        return !fleet.cut || (!fleet.cut(from, of) && !fleet.cut(of, from));
    }

    /// Whether the member is among the few that a fault has cut off, where there are such.
    bool is_cut_off(std::size_t index) const { return few_cut_off && where.is_in_first_rack(index); }

    /// Pairs of which the second is gone for the first, which still gives it new work. Those cut off count
    /// alone if `of_cut_off`.
    std::size_t used_though_gone(bool of_cut_off = false) {
        return count_beliefs([](const member& one) { return one.status == member_status::alive; },
                             [&](std::size_t from, std::size_t of) {
                                 return is_cut_off(from) == of_cut_off &&
                                        (!fleet.at(of).running || !reaches(from, of));
                             });
    }

    /// Pairs of which the second is there for the first, which takes it for dead.
    std::size_t dead_though_reached(bool of_cut_off = false) {
        return count_beliefs([](const member& one) { return !is_present(one); },
                             [&](std::size_t from, std::size_t of) {
                                 return is_cut_off(from) == of_cut_off && fleet.at(of).running &&
                                        reaches(from, of);
                             });
    }

    /// Whether all running members hold the same table, of just the running ones.
    bool is_whole() {
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

    /// The most records that any member holds.
    std::size_t largest_table() {
        std::size_t largest = 0;
        for (std::size_t index = 0; index < fleet.size(); ++index) {
            largest = std::max(largest, fleet.at(index).state.members.size());
        }
        return largest;
    }

    topology where;
    bool few_cut_off = false; ///< The first rack is.
    model_fleet fleet;
    double worst_minute = 0; ///< Bytes a second of the worst member, over its worst minute.
    double worst_second = 0; ///< The same over one second.
    double mean_minute = 0;  ///< Of an average member, in the worst minute of the fleet.

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
