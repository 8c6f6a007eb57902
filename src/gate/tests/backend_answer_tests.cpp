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
const std::string own_answer = own_head + "Content-Length: 5\r\n\r\nright";

void check_malformed(const sent_answer& got) {
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
    CHECK(got.failure->reason == transport::end_reason::backend_failed);
    CHECK(got.failure->detail == "the backend server's answer is malformed");
}

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

// Guards against the body of a message without a status of HTTP that is read as the answer (MIXED).
TEST_CASE("a message whose status is none of HTTP is not forwarded, and no answer is read after it",
          "[backend_answer]") {
    const std::string status = GENERATE("000", "001", "099", "101", "600", "999");
    const std::string framing =
        GENERATE_COPY("Content-Length: " + std::to_string(own_answer.size()) + "\r\n", std::string());
    CAPTURE(status, framing);
    scripted_gate gate;
    const auto line = "HTTP/1.1 " + status + " Odd\r\nRequest-Name: mine\r\n";
    check_malformed(gate.answer_with({line + framing + "\r\n" + own_answer}, ending::stays_open));
}

TEST_CASE("an interim answer that states a body is not passed over", "[backend_answer]") {
    const std::string framing =
        GENERATE_COPY("Content-Length: " + std::to_string(own_answer.size()), "Transfer-Encoding: chunked");
    scripted_gate gate;
    check_malformed(gate.answer_with({"HTTP/1.1 103 Early Hints\r\n" + framing + "\r\n\r\n" + own_answer},
                                     ending::stays_open));
}

TEST_CASE("interim answers are passed over, and any status of HTTP is forwarded", "[backend_answer]") {
    const std::string interim =
        GENERATE("", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n",
                 "HTTP/1.1 199 Odd\r\n\r\n");
    const unsigned status = GENERATE(200U, 299U, 399U, 499U, 599U);
    scripted_gate gate;
    const auto got = gate.answer_with({interim + "HTTP/1.1 " + std::to_string(status) +
                                       " Any\r\nRequest-Name: mine\r\nContent-Length: 2\r\n\r\nok"},
                                      ending::stays_open);
    CHECK(got.status == status);
    CHECK(got.body == "ok");
    CHECK(got.complete);
}

// Guards against a line that is taken for a part of the field before it, which the gate may read (MIXED).
TEST_CASE("an answer whose head has a folded line is not forwarded, however it arrives", "[backend_answer]") {
    const std::string fold = GENERATE("\r\n Odd: a", "\r\n\tOdd: a", "\r\n \r\n  Odd: a", "\r\n ");
    const std::string before =
        GENERATE_COPY(own_head + "Even: a", own_head + "Even:", std::string(own_head, 0, 15));
    const auto answer = before + fold + "\r\nContent-Length: 5\r\n\r\nright";
    const auto split = before.size() + GENERATE(0U, 1U, 2U, 3U);
    CAPTURE(answer, split);
    scripted_gate gate;
    check_malformed(gate.answer_with({answer.substr(0, split), answer.substr(split)}, ending::stays_open));
}

TEST_CASE("a folded line in an interim answer makes the answer malformed", "[backend_answer]") {
    scripted_gate gate;
    check_malformed(gate.answer_with({"HTTP/1.1 103 Early Hints\r\nLink: a\r\n b\r\n\r\n" + own_answer},
                                     ending::stays_open));
}

TEST_CASE("a body may have what would be a folded line in a head", "[backend_answer]") {
    const std::string answer = own_head + "Even:\r\nContent-Length: 13\r\n\r\n\r\n a\r\n\t\r\n\r\n b";
    const auto split = GENERATE_COPY(range(answer.size() - 16, answer.size()));
    scripted_gate gate;
    const auto got = gate.answer_with({answer.substr(0, split), answer.substr(split)}, ending::stays_open);
    CHECK(got.status == 200);
    CHECK(got.body == "\r\n a\r\n\t\r\n\r\n b");
    CHECK(got.complete);
}

// The parser refuses these; the test keeps it so (MIXED).
TEST_CASE("an answer whose head has a malformed line is not forwarded, however it arrives",
          "[backend_answer]") {
    const std::string line =
        GENERATE("X Odd: a", "X-Odd : a", "X\tOdd: a", "X\x01Odd: a", "X\x7fOdd: a", "X\xe9Odd: a", ": a",
                 "X-Odd a", "Content-Length : 5", "Transfer-Encoding : chunked", "X-Odd: a\x01",
                 "Content-Length: -5", "Content-Length: 6", "Transfer-Encoding: chunked");
    const auto split = own_head.size() + GENERATE(0U, 1U, 3U);
    const auto answer = own_head + line + "\r\nContent-Length: 5\r\n\r\nright";
    CAPTURE(line, split);
    scripted_gate gate;
    check_malformed(gate.answer_with({answer.substr(0, split), answer.substr(split)}, ending::stays_open));
}

TEST_CASE("an answer with a malformed trailer is not complete", "[backend_answer]") {
    const std::string trailer = GENERATE("X Odd: a", "X\x01Odd: a", "Content-Length: 5", "X-Odd a");
    scripted_gate gate;
    const auto got = gate.answer_with(
        {own_head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nright\r\n0\r\n" + trailer + "\r\n\r\n"},
        ending::stays_open);
    CHECK_FALSE(got.complete);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::ran);
}
