#include "membership/tests/model_fleet.h"

#include <catch2/catch.hpp>

using monsoonlift::membership::member;
using monsoonlift::membership::member_status;
using monsoonlift::membership::testing::model_fleet;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t fleet_size = 920;
constexpr double bytes_per_second_bound = 3 * 1024;

double worst_rate(model_fleet& fleet, std::chrono::seconds span) {
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        fleet.at(index).bytes = 0;
    }
    fleet.run(span);
    double worst = 0;
    for (std::size_t index = 0; index < fleet.size(); ++index) {
        worst =
            std::max(worst, static_cast<double>(fleet.at(index).bytes) / static_cast<double>(span.count()));
    }
    return worst;
}

double seconds_until(model_fleet& fleet, std::chrono::seconds bound, const std::function<bool()>& done) {
    const auto begin = fleet.now();
    REQUIRE(fleet.run(bound, done));
    return std::chrono::duration<double>(fleet.now() - begin).count();
}

} // namespace

TEST_CASE("920 members exceed 3 KB/s each or take longer than seconds to learn of a change",
          "[swim][scale]") {
    model_fleet fleet(fleet_size, 1);
    fleet.introduce_all();
    fleet.run(2s);
    const double idle = worst_rate(fleet, 10s);
    CHECK(idle < bytes_per_second_bound);

    auto& leaving = fleet.at(17).state;
    fleet.send(17, announce_self(leaving, leaving.self.service, true, member_status::alive));
    const double draining_known = seconds_until(fleet, 10s, [&] {
        return fleet.count_matching(17, [](const member& one) { return one.draining; }) == fleet_size - 1;
    });

    fleet.send(5, spread(fleet.at(5).state, {1, std::string(800, 'x')}, fleet.now()));
    const double rumor_known = seconds_until(fleet, 10s, [&] {
        for (std::size_t index = 0; index < fleet_size; ++index) {
            if (fleet.at(index).state.new_rumors.empty()) {
                return false;
            }
        }
        return true;
    });

    fleet.at(99).running = false;
    const double death_known = seconds_until(fleet, 60s, [&] {
        return fleet.count_matching(99, [](const member& one) {
            return one.status == member_status::dead;
        }) == fleet_size - 2 + 1;
    });
    const double after_changes = worst_rate(fleet, 10s);
    CHECK(after_changes < bytes_per_second_bound);
    CHECK(fleet.largest_datagram <= monsoonlift::membership::max_datagram_bytes);
    WARN("920 members: worst member idle " << idle << " B/s, in the 10 s after two changes " << after_changes
                                           << " B/s; draining known everywhere after " << draining_known
                                           << " s, a rumor of 800 bytes after " << rumor_known
                                           << " s, death after " << death_known << " s; largest datagram "
                                           << fleet.largest_datagram);
}
