// How a gate takes the end of an answer that comes while the request's body is still being written. The write
// may be the call that learns of a reset; the read that follows then sees an ordinary end of the connection.
#include "gate/tests/scripted_gate.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace monsoonlift::gate::tests;

namespace {

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Name: mine\r\n";
const std::string without_length = own_head + "\r\nfirst ";

void check_cut(const sent_answer& got) {
    CHECK_FALSE(got.complete);
    REQUIRE(got.failure);
    CHECK(got.failure->reason == transport::end_reason::backend_failed);
    CHECK(got.failure->run == core::verdict::ran);
}

} // namespace

// Guards against a part of an answer that is taken for the whole (MIXED).
TEST_CASE("a reset while the upload is written doesn't end an answer without a length", "[upload]") {
    const auto body = GENERATE(framing::length, framing::chunks);
    scripted_gate gate;
    gate.begin_upload(body);

    SECTION("the read waits as the write learns of the reset") {
        gate.answer(without_length);
        gate.grant_credit();
        gate.answer("second");
        gate.end_connection(ending::reset);
        check_cut(gate.finish());
    }
    SECTION("the write learns of the reset, and the read begins later") {
        gate.answer(without_length);
        gate.answer("second");
        gate.end_connection(ending::reset);
        gate.grant_credit();
        check_cut(gate.finish());
    }
    SECTION("the reset comes with the first bytes of the answer") {
        gate.answer(without_length);
        gate.end_connection(ending::reset);
        gate.grant_credit();
        check_cut(gate.finish());
    }
}

TEST_CASE("a reset while a request that came whole is written doesn't end an answer without a length",
          "[upload]") {
    scripted_gate gate;
    gate.begin_complete_upload();
    gate.answer(without_length + "second");
    gate.end_connection(ending::reset);
    gate.grant_credit();
    check_cut(gate.finish());
}

TEST_CASE("an answer without a length is whole if its end came before the reset", "[upload]") {
    const auto body = GENERATE(framing::length, framing::chunks);
    scripted_gate gate;
    gate.begin_upload(body);

    SECTION("the read sees the end first") {
        gate.answer(without_length);
        gate.grant_credit();
        gate.answer("second");
        gate.end_connection(ending::shut_down);
        gate.end_connection(ending::reset);
    }
    SECTION("the write learns of the reset first") {
        gate.answer(without_length);
        gate.answer("second");
        gate.end_connection(ending::shut_down);
        gate.end_connection(ending::reset);
        gate.grant_credit();
    }
    SECTION("there is no reset, and the upload is never read") {
        gate.answer(without_length);
        gate.grant_credit();
        gate.answer("second");
        gate.end_connection(ending::shut_down);
    }
    const auto got = gate.finish();
    CHECK(got.complete);
    CHECK(got.body == "first second");
}

TEST_CASE("an answer with a length or in chunks is whole although a reset follows", "[upload]") {
    const auto answer = GENERATE_COPY(values<std::string>(
        {own_head + "Content-Length: 12\r\n\r\nfirst second",
         own_head + "Transfer-Encoding: chunked\r\n\r\n6\r\nfirst \r\n6\r\nsecond\r\n0\r\n\r\n"}));
    const auto body = GENERATE(framing::length, framing::chunks);
    scripted_gate gate;
    gate.begin_upload(body);
    gate.answer(answer.substr(0, answer.size() / 2));
    gate.answer(answer.substr(answer.size() / 2));
    gate.end_connection(ending::reset);
    gate.grant_credit();
    const auto got = gate.finish();
    CHECK(got.complete);
    CHECK(got.body == "first second");
}
