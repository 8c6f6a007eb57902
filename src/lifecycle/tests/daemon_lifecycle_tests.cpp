#include "lifecycle/daemon_lifecycle.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace monsoonlift::lifecycle;

namespace {

struct lifecycle_case {
    std::vector<signal> signals;
    phase reached;
};

} // namespace

TEST_CASE("a sequence of signals leads to the wrong phase", "[lifecycle]") {
    using enum signal;
    const lifecycle_case cases[] = {
        {{}, phase::starting},
        {{sockets_open}, phase::joining},
        {{sockets_open, configuration_known}, phase::serving},
        {{sockets_open, configuration_known, stop_requested}, phase::draining},
        {{sockets_open, configuration_known, stop_requested, nothing_in_flight}, phase::stopped},
        {{stop_requested}, phase::stopped},
        {{sockets_open, stop_requested}, phase::draining},
        {{sockets_open, configuration_known, nothing_in_flight}, phase::serving},
        {{sockets_open, configuration_known, stop_requested, configuration_known}, phase::draining},
        {{stop_requested, sockets_open, configuration_known}, phase::stopped},
    };
    for (const auto& each : cases) {
        daemon_lifecycle lifecycle([](phase) {});
        for (const signal received : each.signals) {
            lifecycle.handle(received);
        }
        CAPTURE(to_string(each.reached));
        CHECK(lifecycle.current() == each.reached);
    }
}

TEST_CASE("the handler misses a change of phase or is called without one", "[lifecycle]") {
    std::vector<phase> entered;
    daemon_lifecycle lifecycle([&](phase reached) { entered.push_back(reached); });
    lifecycle.handle(signal::sockets_open);
    lifecycle.handle(signal::sockets_open);
    lifecycle.handle(signal::stop_requested);
    lifecycle.handle(signal::nothing_in_flight);
    REQUIRE(entered == std::vector<phase>{phase::joining, phase::draining, phase::stopped});
}
