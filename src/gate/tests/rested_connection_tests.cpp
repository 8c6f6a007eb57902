// Backend servers that forget idle connections: what is sent on one next is lost with it.
#include "core/system_clock.h"
#include "gate/connection_rest.h"
#include "gate/tests/gate_rig.h"
#include "gate/tests/request_frame.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";

/// Clocks that stand still until a test sets them ahead. NOTE: they begin at the machine's time, because
/// deadlines set timers of the machine too.
class standing_clock final : public core::clock {
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

/// A gate with one connection to its backend server that rests.
struct rested_gate {
    explicit rested_gate(std::chrono::milliseconds rest) {
        rig.announce("first");
        begin_request(true);
        connection = rig.accept();
        answer(connection);
        clock.advance(rest);
        rig.sender.sent.clear();
    }

    void begin_request(bool idempotent) {
        auto message = tests::request_frame(++calls, clock.now() + 60s);
        std::get<transport::request_head>(message.payload).context.idempotent = idempotent;
        rig.service.received(message);
    }

    void answer(tcp::socket& with) {
        REQUIRE(rig.read_request(with));
        boost::asio::write(with, boost::asio::buffer(whole_answer));
        REQUIRE(rig.run_until_idle());
    }

    /// Waits for the next request on the rested connection and resets that, as a backend server does that has
    /// forgotten it.
    void forget_connection() {
        REQUIRE(rig.read_request(connection));
        connection.set_option(boost::asio::socket_base::linger(true, 0));
        connection.close();
    }

    [[nodiscard]] bool was_answered() const {
        return rig.sender.sent.size() == 1 &&
               std::holds_alternative<transport::response_head>(rig.sender.sent.front().payload);
    }

    standing_clock clock;
    tests::gate_rig rig{clock};
    tcp::socket connection{rig.io};
    std::uint64_t calls = 0;
};

} // namespace

TEST_CASE("an idempotent call lost with a rested connection is sent once more on a new one",
          "[rested_connection]") {
    rested_gate gate(2s);
    gate.begin_request(true);
    gate.forget_connection();
    auto fresh = gate.rig.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
}

TEST_CASE("a call lost with a new connection is not sent again", "[rested_connection]") {
    rested_gate gate(2s);
    gate.begin_request(true);
    gate.forget_connection();
    auto fresh = gate.rig.accept();
    REQUIRE(gate.rig.read_request(fresh));
    fresh.close();
    REQUIRE(gate.rig.run_until_idle());
    REQUIRE(gate.rig.sender.sent.size() == 1);
    const auto* end = std::get_if<transport::attempt_end>(&gate.rig.sender.sent.front().payload);
    REQUIRE(end != nullptr);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("a call that was sent is not told as not run when no new connection can be made",
          "[rested_connection]") {
    rested_gate gate(2s);
    gate.begin_request(true);
    gate.rig.backend.close();
    gate.forget_connection();
    REQUIRE(gate.rig.run_until_idle());
    REQUIRE(gate.rig.sender.sent.size() == 1);
    const auto* end = std::get_if<transport::attempt_end>(&gate.rig.sender.sent.front().payload);
    REQUIRE(end != nullptr);
    CHECK(end->run == core::verdict::may_have_run);
}

TEST_CASE("a non-idempotent call goes on no connection that has rested", "[rested_connection]") {
    rested_gate gate(2s);
    gate.begin_request(false);
    auto fresh = gate.rig.accept();
    gate.answer(fresh);
    CHECK(gate.was_answered());
}

TEST_CASE("a connection that has rested too long ends when another one takes its place",
          "[rested_connection]") {
    rested_gate gate(2s);
    gate.begin_request(false);
    auto fresh = gate.rig.accept();
    gate.answer(fresh);
    CHECK_FALSE(gate.rig.read_request(gate.connection));
}

TEST_CASE("connections in use are shared by all calls", "[rested_connection]") {
    for (const bool idempotent : {true, false}) {
        rested_gate gate(0ms);
        gate.begin_request(idempotent);
        gate.answer(gate.connection);
        CHECK(gate.was_answered());
    }
}

TEST_CASE("the rest that a call bears depends on whether it may be sent again", "[rested_connection]") {
    transport::request_head head;
    head.total = transfer::total_of(head.body);
    head.context.idempotent = true;
    CHECK(can_send_again(head));
    CHECK(longest_rest(head) > sure_rest);
    head.context.idempotent = false;
    CHECK_FALSE(can_send_again(head));
    CHECK(longest_rest(head) == sure_rest);
    head.context.idempotent = true;
    head.total.reset();
    CHECK_FALSE(can_send_again(head));
}
