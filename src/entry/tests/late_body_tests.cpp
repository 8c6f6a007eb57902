// Guards against a leaked call when the answer is sent before the request body has arrived completely.
#include "entry/tests/raw_caller.h"
#include "entry/tests/wired_fleet.h"

#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

/// More than an entry reads before it sends the request to a gate.
constexpr std::size_t early_bytes = 80'000;
constexpr std::size_t late_bytes = 100;

std::string upload_head(const std::string& patience_ms) {
    return "POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\nMonsoonlift-Timeout-Ms: " +
           patience_ms + "\r\nContent-Length: " + std::to_string(early_bytes + late_bytes) + "\r\n\r\n";
}

} // namespace

TEST_CASE("a call whose request body ends after its answer is released", "[late_body]") {
    std::weak_ptr<const configuration::document> rules;
    {
        wired_fleet fleet({}, 1);
        rules = fleet.rules();
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        raw_caller uploader(fleet.io(), fleet.daemon(0).caller_address());
        uploader.read_answer();
        uploader.send(upload_head("200") + std::string(early_bytes, 'a'));
        REQUIRE(fleet.run_until([&] { return uploader.has_head(); }));
        uploader.send(std::string(late_bytes, 'a'));
        uploader.finish();

        bool is_later_answered = false;
        caller_request later;
        later.target = "/answer/2/10";
        fleet.call(0, later, [&](const caller_answer& answer) { is_later_answered = answer.whole; });
        REQUIRE(fleet.run_until([&] { return is_later_answered && uploader.has_ended(); }));
        REQUIRE(fleet.settle());
    }
    CHECK(rules.expired());
}
