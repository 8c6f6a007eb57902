// Backend servers that drop idle connections silently: the next request on such a connection is lost.
#include "core/system_clock.h"
#include "gate/connection_idle_limit.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string complete_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";

/// Clock that advances only by advance(). NOTE: it starts at the machine's time, because deadlines also set
/// timers that use the machine's clock.
class stopped_clock final : public core::clock {
public:
    [[nodiscard]] core::steady_time now() const override { return m_now; }
    [[nodiscard]] core::wall_time wall_now() const override { return m_wall_now; }

    void advance(std::chrono::milliseconds step) {
        m_now += step;
        m_wall_now += step;
    }

private:
    core::steady_time m_now = core::system_clock().now();
    core::wall_time m_wall_now = core::system_clock().wall_now();
};

/// A gate with one connection to its backend server, which has been idle for `idle_time`.
struct idle_connection_fixture {
    explicit idle_connection_fixture(std::chrono::milliseconds idle_time) {
        fixture.announce("first");
        begin_request(true);
        connection = fixture.accept();
        answer(connection);
        clock.advance(idle_time);
        fixture.sender.sent.clear();
    }

    void begin_request(bool idempotent, const std::string& target = "/map") {
        auto message = tests::request_frame(++calls, clock.now() + 60s);
        auto& head = std::get<transport::request_head>(message.payload);
        head.context.idempotent = idempotent;
        head.target = target;
        fixture.service.received(message);
    }

    /// Returns how the only attempt ended since the idle connection was there.
    [[nodiscard]] transport::attempt_end end_of_attempt() const {
        REQUIRE(fixture.sender.sent.size() == 1);
        const auto* end = std::get_if<transport::attempt_end>(&fixture.sender.sent.front().payload);
        REQUIRE(end != nullptr);
        return *end;
    }

    void answer(tcp::socket& with) {
        REQUIRE(fixture.read_request(with));
        boost::asio::write(with, boost::asio::buffer(complete_answer));
        REQUIRE(fixture.run_until_idle());
    }

    /// Waits for the next request on the idle connection and resets the connection, like a backend server
    /// that has dropped it.
    void reset_connection() {
        REQUIRE(fixture.read_request(connection));
        connection.set_option(boost::asio::socket_base::linger(true, 0));
        connection.close();
    }

    [[nodiscard]] bool was_answered() const {
        return fixture.sender.sent.size() == 1 &&
               std::holds_alternative<transport::response_head>(fixture.sender.sent.front().payload);
    }

    stopped_clock clock;
    tests::gate_fixture fixture{clock};
    tcp::socket connection{fixture.io};
    std::uint64_t calls = 0;
};

} // namespace

TEST_CASE("an idempotent call lost on an idle connection is resent on a new one", "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true);
    gate.reset_connection();
    auto fresh = gate.fixture.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
}

TEST_CASE("a call lost on a new connection is not resent", "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true);
    gate.reset_connection();
    auto fresh = gate.fixture.accept();
    REQUIRE(gate.fixture.read_request(fresh));
    fresh.close();
    REQUIRE(gate.fixture.run_until_idle());
    REQUIRE(gate.fixture.sender.sent.size() == 1);
    const auto* end = std::get_if<transport::attempt_end>(&gate.fixture.sender.sent.front().payload);
    REQUIRE(end != nullptr);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("a call whose answer on an idle connection is malformed or broken off is not resent",
          "[idle_connection]") {
    const std::string received =
        GENERATE("HTTP/1.1 200 OK\r\nA: b\r\n folded\r\n\r\n", "HTTP/1.1 000 Odd\r\n\r\n",
                 "HTTP/1.1 103 Early Hints\r\n\r\n", "H");
    CAPTURE(received);
    idle_connection_fixture gate(2s);
    gate.begin_request(true);
    REQUIRE(gate.fixture.read_request(gate.connection));
    boost::asio::write(gate.connection, boost::asio::buffer(received));
    gate.connection.close();
    REQUIRE(gate.fixture.run_until_idle());
    REQUIRE(gate.fixture.sender.sent.size() == 1);
    const auto* end = std::get_if<transport::attempt_end>(&gate.fixture.sender.sent.front().payload);
    REQUIRE(end != nullptr);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("a call lost on an idle connection is not reported as not_run if no new connection can be made",
          "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true);
    gate.fixture.backend.close();
    gate.reset_connection();
    REQUIRE(gate.fixture.run_until_idle());
    REQUIRE(gate.fixture.sender.sent.size() == 1);
    const auto* end = std::get_if<transport::attempt_end>(&gate.fixture.sender.sent.front().payload);
    REQUIRE(end != nullptr);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("a non-idempotent call is not sent on a connection that was idle for long", "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(false);
    auto fresh = gate.fixture.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
}

TEST_CASE("a connection that was idle for too long is closed when another one replaces it",
          "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(false);
    auto fresh = gate.fixture.accept();
    gate.answer(fresh);
    CHECK_FALSE(gate.fixture.read_request(gate.connection));
}

TEST_CASE("a connection is used though few backend servers keep one that long", "[idle_connection]") {
    idle_connection_fixture gate(max_idle_time + 1ms);
    gate.fixture.announce("first");
    gate.begin_request(true);
    auto fresh = gate.fixture.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
    CHECK_FALSE(gate.fixture.read_request(gate.connection));
}

TEST_CASE("a connection that was used just before is reused by idempotent and other calls",
          "[idle_connection]") {
    for (const bool idempotent : {true, false}) {
        idle_connection_fixture gate(0ms);
        gate.begin_request(idempotent);
        gate.answer(gate.connection);
        CHECK(gate.was_answered());
    }
}

TEST_CASE("only a call that can be resent may use a connection that was idle for long", "[idle_connection]") {
    transport::request_head head;
    head.total = transfer::total_of(head.body);
    head.context.idempotent = true;
    CHECK(is_resendable(head));
    CHECK(idle_limit(head) > safe_idle_time);
    head.context.idempotent = false;
    CHECK_FALSE(is_resendable(head));
    CHECK(idle_limit(head) == safe_idle_time);
    head.context.idempotent = true;
    head.total.reset();
    CHECK_FALSE(is_resendable(head));
}

// Guards against requests that crash backend servers unrecognised, as the crash is seen on an idle connection
// and the resend is refused (BUDGET).
TEST_CASE(
    "a backend server that breaks a call off on an idle connection and is gone then is reported as crashed",
    "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true, "/crashes");
    gate.fixture.backend.close();
    gate.reset_connection();
    REQUIRE(gate.fixture.run_until_idle());
    CHECK(gate.end_of_attempt().reason == transport::end_reason::backend_failed);
    CHECK(gate.end_of_attempt().run == core::verdict::may_have_run);
    REQUIRE(gate.fixture.run_until([&] { return !gate.fixture.reports.empty(); }));
    CHECK(gate.fixture.reports.front().in_flight.size() == 1);
}

TEST_CASE("a call lost on an idle connection is suspected if the resend meets another instance",
          "[idle_connection]") {
    const std::string refusal =
        "HTTP/1.1 503 Full\r\nMonsoonlift-Verdict: not_run\r\nContent-Length: 0\r\n\r\n";
    idle_connection_fixture gate(2s);
    gate.begin_request(true, "/crashes");
    gate.reset_connection();
    auto fresh = gate.fixture.accept();
    REQUIRE(gate.fixture.read_request(fresh));
    boost::asio::write(fresh, boost::asio::buffer(refusal));
    REQUIRE(gate.fixture.run_until_idle());
    CHECK(gate.end_of_attempt().reason == transport::end_reason::backend_failed);
    CHECK(gate.end_of_attempt().run == core::verdict::may_have_run);
    CHECK(gate.fixture.reports.empty());
    gate.fixture.announce("second");
    REQUIRE(gate.fixture.reports.size() == 1);
    CHECK(gate.fixture.reports.front().in_flight.size() == 1);
}

TEST_CASE("a call lost on an idle connection is suspected if another instance is announced before the resend",
          "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true, "/crashes");
    REQUIRE(gate.fixture.read_request(gate.connection));
    gate.fixture.announce("second");
    gate.fixture.service.leave("second", gate.clock.now());
    gate.connection.set_option(boost::asio::socket_base::linger(true, 0));
    gate.connection.close();
    REQUIRE(gate.fixture.run_until_idle());
    CHECK(gate.end_of_attempt().reason == transport::end_reason::backend_failed);
    CHECK(gate.end_of_attempt().run == core::verdict::may_have_run);
    CHECK(gate.fixture.reports.size() == 1);
}

TEST_CASE("an idle connection that its backend server closed is no crash", "[idle_connection]") {
    idle_connection_fixture gate(2s);
    gate.begin_request(true, "/other");
    gate.reset_connection();
    auto fresh = gate.fixture.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
    gate.fixture.announce("second");
    CHECK(gate.fixture.reports.empty());
}

TEST_CASE("a non-idempotent call that crashes its backend server is reported with the crash",
          "[idle_connection]") {
    idle_connection_fixture gate(0ms);
    gate.begin_request(false, "/crashes");
    gate.fixture.backend.close();
    gate.reset_connection();
    REQUIRE(gate.fixture.run_until_idle());
    CHECK(gate.end_of_attempt().reason == transport::end_reason::backend_failed);
    REQUIRE(gate.fixture.run_until([&] { return !gate.fixture.reports.empty(); }));
    CHECK(gate.fixture.reports.front().in_flight.size() == 1);
}
