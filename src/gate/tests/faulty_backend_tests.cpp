// Backend servers that repeat old answers, stop in the middle of a head, or send bytes without end.
#include "gate/tests/scripted_gate.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate::tests;

namespace {

constexpr std::size_t max_discarded_bytes = 16 * 1024 * 1024;
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

TEST_CASE("a repeated refusal on a kept-alive connection is not taken for the next request's answer",
          "[faulty_backend]") {
    for (const std::string earlier : {"mine", "other", ""}) {
        INFO("the refusal has the request name '" << earlier << "'");
        scripted_gate gate;
        CHECK(gate.answer_with({own_answer}, ending::stays_open).complete);
        const auto got = gate.answer_next_with("next", refusal_of(earlier) + answer_of("next"));
        const bool reported_not_run = got.failure && got.failure->run == core::verdict::not_run;
        CHECK_FALSE(reported_not_run);
        if (!earlier.empty()) {
            CHECK(got.status == 200);
            CHECK(got.body == "ok");
        }
    }
}

TEST_CASE("a repeated answer without a request name is not forwarded", "[faulty_backend]") {
    scripted_gate gate;
    CHECK(gate.answer_with({own_answer}, ending::stays_open).complete);
    const auto got = gate.answer_next_with("next", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong");
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}

TEST_CASE("the first answer on a connection is accepted without a request name", "[faulty_backend]") {
    scripted_gate gate;
    const auto got = gate.answer_with({refusal_of("")}, ending::stays_open);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::not_run);
}

TEST_CASE("an answer whose head is truncated at any byte is not forwarded", "[faulty_backend]") {
    const auto complete_head = own_head + "Content-Length: 5\r\n\r\n";
    for (const auto last : {ending::closed, ending::reset}) {
        for (std::size_t length = 0; length < complete_head.size(); ++length) {
            INFO(length << " bytes, reset: " << (last == ending::reset));
            scripted_gate gate;
            const auto got = gate.answer_with({complete_head.substr(0, length)}, last);
            CHECK_FALSE(got.status);
            CHECK_FALSE(got.complete);
            REQUIRE(got.failure);
            CHECK(got.failure->run == core::verdict::may_have_run);
        }
    }
}

TEST_CASE("the connection is closed if an answer's head or what precedes it has no end", "[faulty_backend]") {
    struct endless_case {
        const char* what;
        std::string beginning;
        std::string repeated;
    };
    const std::string other_in_chunks =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n";
    const endless_case cases[] = {
        {"no HTTP", "", std::string(piece_bytes, 'x')},
        {"a reason phrase", "HTTP/1.1 200 ", std::string(piece_bytes, 'x')},
        {"one field", own_head + "Filling: ", std::string(piece_bytes, 'x')},
        {"many fields", own_head, "Filling: x\r\n"},
        {"interim answers", "", "HTTP/1.1 102 Processing\r\n\r\n"},
        {"answers to another request", "", answer_of("other")},
        {"the body of an answer to another request", other_in_chunks, "5\r\nwrong\r\n"},
        {"a chunk's extension", other_in_chunks + "5;", std::string(piece_bytes, 'x')},
    };
    for (const auto& test_case : cases) {
        INFO(test_case.what);
        scripted_gate gate;
        CHECK(gate.answer_endlessly(test_case.beginning, test_case.repeated) < max_discarded_bytes);
        CHECK(gate.is_idle());
        CHECK_FALSE(gate.collect().status);
        REQUIRE(gate.collect().failure);
        CHECK(gate.collect().failure->run == core::verdict::may_have_run);
    }
}

TEST_CASE("an endless body is no longer read once its caller stops granting credit or cancels",
          "[faulty_backend]") {
    const std::string endings[] = {own_head + "\r\n", own_head + "Transfer-Encoding: chunked\r\n\r\n"};
    for (const auto& head : endings) {
        INFO(head);
        scripted_gate gate;
        gate.cancel_after = max_discarded_bytes / 16;
        CHECK(gate.answer_endlessly(head, "5\r\nright\r\n") < max_discarded_bytes);
        CHECK_FALSE(gate.collect().complete);
    }
}
