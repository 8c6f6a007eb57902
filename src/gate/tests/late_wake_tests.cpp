// Guards against an answer of a backend server that has arrived and is dropped, because the process stood
// still past a time limit.
#include "core/system_clock.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <string>
#include <thread>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds call_timeout = 500ms;
constexpr std::chrono::milliseconds stall_patience = 500ms;

gate_options options() {
    gate_options chosen;
    chosen.stall_patience = stall_patience;
    return chosen;
}

/// A gate whose backend server has read a request.
struct running_call {
    running_call() {
        fixture.announce("first");
        fixture.service.received(tests::request_frame(1, clock.now() + call_timeout));
        connection = fixture.accept();
        REQUIRE(fixture.read_request(connection));
    }

    void send(const std::string& bytes) { boost::asio::write(connection, boost::asio::buffer(bytes)); }

    template <class Payload> [[nodiscard]] const Payload* sent() const {
        for (const auto& frame : fixture.sender.sent) {
            if (const auto* payload = std::get_if<Payload>(&frame.payload)) {
                return payload;
            }
        }
        return nullptr;
    }

    core::system_clock clock;
    tests::gate_fixture fixture{clock, options()};
    tcp::socket connection{fixture.io};
};

std::string answer_of(std::size_t bytes) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           std::string(bytes, 'a');
}

} // namespace

TEST_CASE("an answer that is there when the process goes on after the deadline is dropped", "[late_wake]") {
    const std::size_t bytes = GENERATE(0, 1000, 16000);
    running_call call;
    call.send(answer_of(bytes));
    std::this_thread::sleep_for(call_timeout);
    REQUIRE(call.fixture.run_until_idle());
    const auto* head = call.sent<transport::response_head>();
    REQUIRE(head != nullptr);
    CHECK(head->total);
    CHECK(head->body.size() == bytes);
}

TEST_CASE("an answer that is there is dropped because its entry gives up at the deadline", "[late_wake]") {
    running_call call;
    call.send(answer_of(16000));
    std::this_thread::sleep_for(call_timeout);
    transport::frame given_up;
    given_up.sender = {1};
    given_up.attempt = {{1}, 1, 0};
    given_up.payload = transport::cancel{};
    call.fixture.service.received(given_up);
    REQUIRE(call.fixture.run_until_idle());
    const auto* head = call.sent<transport::response_head>();
    REQUIRE(head != nullptr);
    CHECK(head->body.size() == 16000);
}

TEST_CASE("the rest of an answer that begins to arrive before the deadline is cut off", "[late_wake]") {
    running_call call;
    const auto answer = answer_of(1000);
    call.send(answer.substr(0, answer.size() / 2));
    std::this_thread::sleep_for(call_timeout);
    call.fixture.io.poll();
    call.send(answer.substr(answer.size() / 2));
    REQUIRE(call.fixture.run_until_idle());
    const auto* head = call.sent<transport::response_head>();
    REQUIRE(head != nullptr);
    CHECK(head->body.size() == 1000);
}

TEST_CASE("a streamed answer that goes on after a standstill of the gate is cut", "[late_wake]") {
    const bool has_credit = GENERATE(true, false);
    running_call call;
    const std::string chunk = "64\r\n" + std::string(100, 'a') + "\r\n";
    call.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
    REQUIRE(call.fixture.run_until([&] { return call.sent<transport::response_head>() != nullptr; }));
    transport::frame granted;
    granted.sender = {1};
    granted.attempt = {{1}, 1, 0};
    granted.payload = transport::credit{8};
    if (has_credit) {
        call.fixture.service.received(granted);
    }
    call.fixture.io.poll();
    std::this_thread::sleep_for(stall_patience);
    if (!has_credit) {
        call.fixture.io.poll();
        call.fixture.service.received(granted);
    }
    for (int repeated = 0; repeated < 300; ++repeated) {
        call.send(chunk);
    }
    call.send("0\r\n\r\n");
    REQUIRE(call.fixture.run_until_idle());
    CHECK(call.sent<transport::body_end>() != nullptr);
}

TEST_CASE("a request without an answer runs on at its gate after the deadline", "[late_wake]") {
    running_call call;
    REQUIRE(call.fixture.run_until_idle());
    const auto* end = call.sent<transport::attempt_end>();
    REQUIRE(end != nullptr);
    CHECK(end->reason == transport::end_reason::deadline);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("an answer that never comes whole keeps its gate busy", "[late_wake]") {
    running_call call;
    call.send(answer_of(1000).substr(0, 500));
    REQUIRE(call.fixture.run_until_idle());
    CHECK(call.sent<transport::response_head>() == nullptr);
    REQUIRE(call.sent<transport::attempt_end>() != nullptr);
}
