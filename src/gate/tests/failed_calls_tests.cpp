// Guards against an exception in one call that takes slots, queued calls or the gate's timer with it (LOST).
#include "core/contain.h"
#include "gate/tests/gate_fixture.h"
#include "gate/tests/request_frame.h"
#include "testing/manual_clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <map>
#include <variant>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using logging::event_id;

namespace {

constexpr std::uint64_t slots = 4;
constexpr std::uint64_t calls_at_once = 12;

/// The gate's timers run by the real clock, so the deadline must lie ahead on that one too.
constexpr std::chrono::hours patience = 24h * 365;

/// A gate with four slots that takes calls in order of arrival, and the connections of its backend server.
struct crowded_gate {
    crowded_gate() : fixture(clock, options()) {
        fixture.announce("first");
        fixture.service.start();
    }

    static gate_options options() {
        gate_options chosen;
        chosen.decisions_on = false;
        chosen.backend_silence_timeout = 1h;
        return chosen;
    }

    void begin(std::uint64_t call, bool idempotent = true) {
        auto message = tests::request_frame(call, clock.now() + patience);
        std::get<transport::request_head>(message.payload).context.idempotent = idempotent;
        receive(std::move(message));
    }

    /// Passes a frame to the gate; an exception goes no further, as in the transport.
    void receive(transport::frame message) {
        core::contain([&] { fixture.service.received(std::move(message)); }, [](const std::string&) {});
    }

    void begin_all() {
        for (std::uint64_t call = 1; call <= calls_at_once; ++call) {
            begin(call);
        }
    }

    /// Serves requests until no call is in flight: the backend server closes each connection unanswered.
    [[nodiscard]] bool break_all() {
        accept_next();
        return fixture.run_until_idle();
    }

    void accept_next() {
        fixture.backend.async_accept(
            [this](const boost::system::error_code& failure, boost::asio::ip::tcp::socket socket) {
                if (!failure) {
                    socket.close();
                    accept_next();
                }
            });
    }

    [[nodiscard]] std::map<std::uint64_t, std::vector<transport::attempt_end>> ends() const {
        std::map<std::uint64_t, std::vector<transport::attempt_end>> found;
        for (const auto& frame : fixture.sender.sent) {
            if (const auto* end = std::get_if<transport::attempt_end>(&frame.payload)) {
                found[frame.attempt.call].push_back(*end);
            }
        }
        return found;
    }

    /// Checks that each call has ended once, that all slots are free and that the next call is served.
    void check_settled(std::uint64_t calls) {
        CHECK(fixture.log.has_failed());
        CHECK(fixture.handlers_failed == 0);
        const auto found = ends();
        CHECK(found.size() == calls);
        for (const auto& [call, all] : found) {
            INFO("call " << call);
            CHECK(all.size() == 1);
        }
        CHECK(fixture.service.report().running == 0);
        CHECK(fixture.service.report().waiting == 0);
        fixture.announce("first");
        begin(calls + 1);
        CHECK(break_all());
        CHECK(ends().contains(calls + 1));
    }

    testing::manual_clock clock;
    tests::gate_fixture fixture;
};

} // namespace

TEST_CASE("a refusal that fails takes no other refusal of its step with it", "[failed_calls]") {
    crowded_gate gate;
    gate.begin_all();
    std::vector<boost::asio::ip::tcp::socket> running;
    for (std::uint64_t slot = 0; slot < slots; ++slot) {
        running.push_back(gate.fixture.accept());
        REQUIRE(gate.fixture.read_request(running.back()));
    }
    gate.fixture.log.arm(event_id::attempt_not_admitted, 3);
    CHECK(gate.fixture.service.leave("first", gate.clock.now()));
    CHECK(gate.fixture.run_until([&] { return gate.fixture.service.report().waiting == 0; }));
    running.clear();
    CHECK(gate.fixture.run_until_idle());
    const auto ends = gate.ends();
    for (std::uint64_t call = slots + 1; call <= calls_at_once; ++call) {
        INFO("call " << call);
        REQUIRE(ends.contains(call));
        CHECK(ends.at(call).front().run == core::verdict::not_run);
        CHECK(ends.at(call).front().reason == transport::end_reason::no_backend);
    }
    CHECK(ends.size() == calls_at_once);
    CHECK(gate.fixture.log.has_failed());
    CHECK(gate.fixture.service.report().running == 0);
}

TEST_CASE("a start that fails gives its slot back and ends its call", "[failed_calls]") {
    for (const std::uint64_t failing : {1U, 4U, 5U, 8U, 12U}) {
        INFO("start " << failing);
        crowded_gate gate;
        gate.fixture.log.arm(event_id::attempt_started, failing);
        gate.begin_all();
        REQUIRE(gate.break_all());
        CHECK(gate.ends().at(failing).front().run == core::verdict::not_run);
        gate.check_settled(calls_at_once);
    }
}

TEST_CASE("an end that fails gives its slot back and tells its entry", "[failed_calls]") {
    for (const auto id : {event_id::attempt_broken, event_id::backend_broke_off}) {
        INFO("event " << static_cast<unsigned>(id));
        crowded_gate gate;
        gate.fixture.log.arm(id);
        gate.begin_all();
        REQUIRE(gate.break_all());
        gate.check_settled(calls_at_once);
    }
}

TEST_CASE("an arrival that fails after its record was opened ends its call unrun", "[failed_calls]") {
    crowded_gate gate;
    gate.fixture.log.arm(event_id::key_admitted);
    for (std::uint64_t call = 1; call <= calls_at_once; ++call) {
        gate.begin(call, false);
    }
    REQUIRE(gate.break_all());
    CHECK(gate.ends().at(1).front().run == core::verdict::not_run);
    CHECK(gate.fixture.ledger.counts().records == calls_at_once - 1);
    gate.check_settled(calls_at_once);
}

TEST_CASE("a waiting call whose cancellation fails leaves the queue and tells its entry", "[failed_calls]") {
    crowded_gate gate;
    gate.begin_all();
    gate.fixture.log.arm(event_id::call_cancelled);
    auto message = tests::request_frame(slots + 2, gate.clock.now() + patience);
    message.payload = transport::cancel();
    gate.receive(std::move(message));
    REQUIRE(gate.break_all());
    gate.check_settled(calls_at_once);
}

TEST_CASE("a tick that fails doesn't end the ticks of the gate", "[failed_calls]") {
    crowded_gate gate;
    gate.begin_all();
    gate.fixture.log.arm(event_id::gate_counted);
    gate.clock.advance(2s);
    REQUIRE(gate.fixture.run_until([&] { return gate.fixture.log.has_failed(); }));
    CHECK(gate.fixture.service.leave("first", gate.clock.now()));
    CHECK(gate.fixture.run_until([&] { return gate.fixture.service.report().waiting == 0; }));
    REQUIRE(gate.break_all());
    CHECK(gate.ends().size() == calls_at_once);
}
