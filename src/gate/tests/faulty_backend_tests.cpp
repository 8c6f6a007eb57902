// Backend servers that write old answers once more, stop within a head, or write bytes without end.
#include "gate/tests/scripted_gate.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate::tests;

namespace {

constexpr std::size_t most_bytes_read_in_vain = 16 * 1024 * 1024;
constexpr std::size_t piece_bytes = 4096;

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Name: mine\r\n";
const std::string own_answer = own_head + "Content-Length: 5\r\n\r\nright";

std::string refusal_of(const std::string& name) {
    const auto echo = name.empty() ? std::string() : "Request-Name: " + name + "\r\n";
    return "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Content-Length: 0\r\n\r\n";
}

std::string answer_of(const std::string& name) {
    return "HTTP/1.1 200 OK\r\nRequest-Name: " + name + "\r\nContent-Length: 2\r\n\r\nok";
}

} // namespace

TEST_CASE("an earlier refusal written once more on a kept connection says nothing of the next request",
          "[faulty_backend]") {
    for (const std::string earlier : {"mine", "other", ""}) {
        INFO("the refusal names '" << earlier << "'");
        scripted_gate gate;
        CHECK(gate.answer_with({own_answer}, ending::stays_open).whole);
        const auto got = gate.answer_next_with("next", refusal_of(earlier) + answer_of("next"));
        const bool told_not_run = got.failure && got.failure->run == core::verdict::not_run;
        CHECK_FALSE(told_not_run);
        if (!earlier.empty()) {
            CHECK(got.status == 200);
            CHECK(got.body == "ok");
        }
    }
}

TEST_CASE("an earlier answer written once more without a name is not passed on", "[faulty_backend]") {
    scripted_gate gate;
    CHECK(gate.answer_with({own_answer}, ending::stays_open).whole);
    const auto got = gate.answer_next_with("next", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}

TEST_CASE("the first answer of a connection may come without a name", "[faulty_backend]") {
    scripted_gate gate;
    const auto got = gate.answer_with({refusal_of("")}, ending::stays_open);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::not_run);
}

TEST_CASE("an answer whose head is cut at any byte is no answer", "[faulty_backend]") {
    const auto whole_head = own_head + "Content-Length: 5\r\n\r\n";
    for (const auto last : {ending::closed, ending::reset}) {
        for (std::size_t length = 0; length < whole_head.size(); ++length) {
            INFO(length << " bytes, reset: " << (last == ending::reset));
            scripted_gate gate;
            const auto got = gate.answer_with({whole_head.substr(0, length)}, last);
            CHECK_FALSE(got.status);
            CHECK_FALSE(got.whole);
            REQUIRE(got.failure);
            CHECK(got.failure->run == core::verdict::may_have_run);
        }
    }
}

TEST_CASE("bytes without end within a head end the connection", "[faulty_backend]") {
    struct endless_case {
        const char* what;
        std::string beginning;
        std::string repeated;
    };
    const std::string other_in_chunks =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n";
    const endless_case cases[] = {
        {"no HTTP", "", std::string(piece_bytes, 'x')},
        {"a reason", "HTTP/1.1 200 ", std::string(piece_bytes, 'x')},
        {"one field", own_head + "Filling: ", std::string(piece_bytes, 'x')},
        {"many fields", own_head, "Filling: x\r\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"answers of another request", "", answer_of("other")},
        {"the body of another request's answer", other_in_chunks, "5\r\nwrong\r\n"},
        {"a chunk's extension", other_in_chunks + "5;", std::string(piece_bytes, 'x')},
    };
    for (const auto& wanted : cases) {
        INFO(wanted.what);
        scripted_gate gate;
        CHECK(gate.answer_endlessly(wanted.beginning, wanted.repeated) < most_bytes_read_in_vain);
        CHECK(gate.is_idle());
        CHECK_FALSE(gate.collect().status);
        REQUIRE(gate.collect().failure);
        CHECK(gate.collect().failure->run == core::verdict::may_have_run);
    }
}

TEST_CASE("a body without end stops when its caller takes no more or leaves", "[faulty_backend]") {
    const std::string endings[] = {own_head + "\r\n", own_head + "Transfer-Encoding: chunked\r\n\r\n"};
    for (const auto& head : endings) {
        INFO(head);
        scripted_gate gate;
        gate.cancel_after = most_bytes_read_in_vain / 16;
        CHECK(gate.answer_endlessly(head, "5\r\nright\r\n") < most_bytes_read_in_vain);
        CHECK_FALSE(gate.collect().whole);
    }
}
