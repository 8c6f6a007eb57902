#include "gate/misdirected_request.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using core::verdict;
using transport::end_reason;

namespace {

constexpr core::steady_time now{1h};
const core::endpoint_id self{"10.0.0.2:7000", {2}};

transport::frame request(const std::string& key, bool rewritten) {
    transport::request_head head;
    head.reply_address = "10.0.0.1:7000";
    head.gate_address = self.address;
    head.context.key = key;
    head.context.deadline = now + 5s;
    transport::frame message;
    message.sender = {3};
    message.receiver = {1};
    message.attempt = {{3}, 8, 1};
    message.payload = std::move(head);
    message.rewritten = rewritten;
    return message;
}

} // namespace

TEST_CASE("a request for an earlier process gets no answer, or not_run though that process may have run it",
          "[misdirected]") {
    struct refusal_case {
        const char* what;
        const char* key;
        bool rewritten;
        verdict run;
        end_reason reason;
    };
    const refusal_case cases[] = {
        {"written once", "", false, verdict::not_run, end_reason::no_backend},
        {"written to an earlier connection too", "", true, verdict::may_have_run, end_reason::backend_failed},
        {"with a key", "k", false, verdict::may_have_run, end_reason::backend_failed},
    };
    for (const auto& tried : cases) {
        INFO(tried.what);
        const auto refusal = refuse_misdirected(request(tried.key, tried.rewritten), self, now);
        REQUIRE(refusal);
        CHECK(refusal->to == core::endpoint_id{"10.0.0.1:7000", {3}});
        CHECK(refusal->message.attempt == core::attempt_id{{3}, 8, 1});
        CHECK(refusal->message.target == transport::frame_target::entry);
        CHECK(refusal->message.expires == now + 5s);
        const auto& end = std::get<transport::attempt_end>(refusal->message.payload);
        CHECK(end.run == tried.run);
        CHECK(end.reason == tried.reason);
        CHECK(end.successor_of == core::incarnation{1});
    }
}

TEST_CASE("frames of an attempt that began elsewhere are refused", "[misdirected]") {
    auto message = request("", false);
    message.payload = transport::cancel{};
    REQUIRE_FALSE(refuse_misdirected(message, self, now));
}

TEST_CASE("a request that strayed from another address is refused", "[misdirected]") {
    const core::endpoint_id elsewhere{"10.0.0.3:7000", {2}};
    REQUIRE_FALSE(refuse_misdirected(request("", false), elsewhere, now));
}
