// How a gate handles answers that belong to another request, are truncated or malformed, refuse the request,
// or end with their connection.
#include "gate/tests/scripted_gate.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace monsoonlift::gate::tests;

namespace {

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Name: mine\r\n";

} // namespace

TEST_CASE("an answer to another request is discarded and the right one is forwarded", "[backend_answer]") {
    const std::string other_with_length =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nContent-Length: 5\r\n\r\nwrong";
    const std::string other_in_chunks =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    for (const auto& other : {other_with_length, other_in_chunks}) {
        scripted_gate gate;
        const auto got =
            gate.answer_with({other, own_head + "Content-Length: 5\r\n\r\nright"}, ending::stays_open);
        CHECK(got.status == 200);
        CHECK(got.body == "right");
        CHECK(got.complete);
    }
}

TEST_CASE("an answer to another request without a length or chunks is not forwarded", "[backend_answer]") {
    scripted_gate gate;
    const auto got =
        gate.answer_with({"HTTP/1.1 200 OK\r\nRequest-Name: other\r\n\r\nwrong"}, ending::closed);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}

TEST_CASE("an answer that ends with its connection is not complete if the connection is reset",
          "[backend_answer]") {
    struct ending_case {
        ending last;
        bool complete;
    };
    for (const auto& test_case : {ending_case{ending::closed, true}, ending_case{ending::reset, false}}) {
        scripted_gate gate;
        const auto got = gate.answer_with({own_head + "\r\nfirst ", "second"}, test_case.last);
        CHECK(got.complete == test_case.complete);
        if (test_case.complete) {
            CHECK(got.body == "first second");
        }
    }
}

TEST_CASE("an answer shorter than its Content-Length is not complete", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({own_head + "Content-Length: 50\r\n\r\nshort"}, ending::closed);
    CHECK_FALSE(got.complete);
    REQUIRE(got.failure);
    CHECK(got.failure->reason == transport::end_reason::backend_failed);
}

TEST_CASE("a refusal in the backend server's protocol yields the verdict not_run", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"HTTP/1.1 421 Misdirected Request\r\nRequest-Name: mine\r\n"
                                       "Content-Length: 0\r\n\r\n"},
                                      ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::not_run);
}

TEST_CASE("bytes that are not HTTP are not forwarded", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"SMTP ready, go on\r\n\r\n"}, ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}
