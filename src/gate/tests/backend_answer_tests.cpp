// What a gate makes of answers that are late, of another request, cut short, or end with their connection.
#include "gate/tests/scripted_gate.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace monsoonlift::gate::tests;

namespace {

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Name: mine\r\n";

} // namespace

TEST_CASE("an answer of another request is dropped and the own one is passed on", "[backend_answer]") {
    const std::string other_whole =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nContent-Length: 5\r\n\r\nwrong";
    const std::string other_in_chunks =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    for (const auto& other : {other_whole, other_in_chunks}) {
        scripted_gate gate;
        const auto got =
            gate.answer_with({other, own_head + "Content-Length: 5\r\n\r\nright"}, ending::stays_open);
        CHECK(got.status == 200);
        CHECK(got.body == "right");
        CHECK(got.whole);
    }
}

TEST_CASE("an answer of another request that has no end is no answer", "[backend_answer]") {
    scripted_gate gate;
    const auto got =
        gate.answer_with({"HTTP/1.1 200 OK\r\nRequest-Name: other\r\n\r\nwrong"}, ending::closed);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}

TEST_CASE("an answer that ends with its connection is whole only if that closes in order",
          "[backend_answer]") {
    struct ending_case {
        ending last;
        bool whole;
    };
    for (const auto& wanted : {ending_case{ending::closed, true}, ending_case{ending::reset, false}}) {
        scripted_gate gate;
        const auto got = gate.answer_with({own_head + "\r\nfirst ", "second"}, wanted.last);
        CHECK(got.whole == wanted.whole);
        if (wanted.whole) {
            CHECK(got.body == "first second");
        }
    }
}

TEST_CASE("an answer cut short of its length is not whole", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({own_head + "Content-Length: 50\r\n\r\nshort"}, ending::closed);
    CHECK_FALSE(got.whole);
    REQUIRE(got.failure);
    CHECK(got.failure->reason == transport::end_reason::backend_failed);
}

TEST_CASE("a refusal of the backend server's protocol says that nothing ran", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"HTTP/1.1 421 Misdirected Request\r\nRequest-Name: mine\r\n"
                                       "Content-Length: 0\r\n\r\n"},
                                      ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::not_run);
}

TEST_CASE("bytes that are no answer are passed on to nobody", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"SMTP ready, go on\r\n\r\n"}, ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}
