// Guards against truncating an answer because its gate is briefly suspected by membership.
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

void suspect_all_gates(wired_fleet& fleet) {
    for (const std::size_t index : {0, 1}) {
        membership::member known;
        known.id = fleet.daemon(index).id();
        known.service = "mappa";
        known.data_centre = "palermo";
        known.status = membership::member_status::suspect;
        fleet.daemon(0).entry().member_changed(known);
    }
}

void release_answers(wired_fleet& fleet) {
    fleet.daemon(0).backend().release_answers();
    fleet.daemon(1).backend().release_answers();
}

} // namespace

TEST_CASE("an answer that has begun is not truncated when its gate is suspected", "[suspicion]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    raw_caller caller(fleet.io(), fleet.daemon(0).caller_address());
    caller.read_answer();
    caller.send("GET /answer/held/400000 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                "Monsoonlift-Timeout-Ms: 60000\r\nConnection: close\r\n\r\n");
    REQUIRE(fleet.run_until([&] { return caller.has_head(); }));
    suspect_all_gates(fleet);
    fleet.run_ready();
    release_answers(fleet);
    REQUIRE(fleet.run_until([&] { return caller.has_ended(); }));
    CHECK(caller.answer().ends_with("\r\n0\r\n\r\n"));
    REQUIRE(fleet.settle());
}
