#include "testing/recording_log.h"
#include "transport/tests/two_daemons.h"

#include <catch2/catch.hpp>

#include <stdexcept>

using namespace monsoonlift;
using namespace monsoonlift::transport;
using namespace monsoonlift::transport::testing;
using monsoonlift::transport::internal::with_prefix;

TEST_CASE("frames arrive in order, including those queued before the first connection opens", "[transport]") {
    two_daemons daemons;
    for (std::uint64_t call = 1; call <= 200; ++call) {
        daemons.left.send(daemons.right.self(), credit_frame(call));
    }
    const auto seen = daemons.right_seen.frames(200);
    REQUIRE(seen.size() == 200);
    for (std::size_t index = 0; index < seen.size(); ++index) {
        REQUIRE(seen[index].attempt.call == index + 1);
        REQUIRE(seen[index].sender.value == 1);
    }
}

TEST_CASE("a daemon can send frames to itself", "[transport]") {
    two_daemons daemons;
    daemons.left.send(daemons.left.self(), credit_frame(5));
    REQUIRE(daemons.left_seen.frames(1).size() == 1);
}

TEST_CASE("a frame for another incarnation at the same address is dropped", "[transport]") {
    two_daemons daemons;
    auto earlier = daemons.right.self();
    earlier.life = {99};
    daemons.left.send(earlier, credit_frame(1));
    daemons.left.send(daemons.right.self(), credit_frame(2));
    const auto seen = daemons.right_seen.frames(1);
    REQUIRE(seen.size() == 1);
    REQUIRE(seen[0].attempt.call == 2);
    REQUIRE(daemons.right.counters().wrong_incarnation == 1);
}

TEST_CASE("a frame for an earlier incarnation is dropped without a word to its owner", "[transport]") {
    two_daemons daemons;
    auto other = daemons.right.self();
    for (const std::uint64_t life : {1, 99}) {
        other.life = {life};
        daemons.left.send(other, credit_frame(life));
    }
    REQUIRE(daemons.right_seen.misdirected(1).size() == 1);
    daemons.left.send(daemons.right.self(), credit_frame(2));
    REQUIRE(daemons.right_seen.frames(1).size() == 1);
    const auto misdirected = daemons.right_seen.misdirected(1);
    REQUIRE(misdirected.size() == 1);
    REQUIRE(misdirected[0].attempt.call == 1);
}

TEST_CASE("corrupt frames are counted, and later frames are accepted", "[transport]") {
    two_daemons daemons;
    for (const std::string garbage : {"", "garbage", "\xff\xff\xff\xff"}) {
        raw_client(daemons.right.self().address).write(with_prefix(garbage));
    }
    while (daemons.right.counters().received < 3) {
        std::this_thread::yield();
    }
    daemons.left.send(daemons.right.self(), credit_frame(1));
    REQUIRE(daemons.right_seen.frames(1).size() == 1);
    REQUIRE(daemons.right.counters().corrupt == 3);
}

TEST_CASE("a frame for an unreachable daemon is reported as unsent", "[transport]") {
    two_daemons daemons;
    frame message;
    message.attempt = {{1}, 3, 0};
    message.payload = request_head{};
    daemons.left.send({"127.0.0.1:1", {5}}, message);
    const auto unsent = daemons.left_seen.unsent(1);
    REQUIRE(unsent.size() == 1);
    REQUIRE(unsent[0].attempt.call == 3);
    REQUIRE(unsent[0].begins_attempt);
    REQUIRE(unsent[0].from == frame_target::entry);
}

TEST_CASE("two daemons can't listen on the same address", "[transport]") {
    two_daemons daemons;
    REQUIRE_THROWS_AS(
        tcp_transport(daemons.io, {daemons.left.self().address}, {3}, daemons.clock, daemons.log),
        boost::system::system_error);
}

TEST_CASE("a daemon identifies itself by its advertised address", "[transport]") {
    two_daemons daemons({"127.0.0.1:0", "192.0.2.1:7000"});
    REQUIRE(daemons.left.self().address == "192.0.2.1:7000");
    daemons.left.send(daemons.left.self(), credit_frame(5));
    REQUIRE(daemons.left_seen.frames(1).size() == 1);
}

TEST_CASE("connections to peers come from the source ip", "[transport]") {
    using boost::asio::ip::tcp;
    boost::asio::io_context io;
    tcp::acceptor peer(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    two_daemons daemons({"127.0.0.1:0", {}, "127.0.0.9"});
    const std::string address = "127.0.0.1:" + std::to_string(peer.local_endpoint().port());
    daemons.left.send({address, {5}}, credit_frame(1));
    tcp::socket accepted = peer.accept();
    REQUIRE(accepted.remote_endpoint().address().to_string() == "127.0.0.9");
}

TEST_CASE("frames sent from a source ip arrive", "[transport]") {
    two_daemons daemons({"127.0.0.1:0", {}, "127.0.0.9"});
    daemons.left.send(daemons.right.self(), credit_frame(1));
    REQUIRE(daemons.right_seen.frames(1).size() == 1);
}

TEST_CASE("a frame whose handling fails takes no later frame of its connection with it",
          "[transport][contain]") {
    boost::asio::io_context io;
    core::system_clock clock;
    monsoonlift::testing::recording_log log;
    tcp_transport sender(io, {"127.0.0.1:0"}, {1}, clock, log);
    tcp_transport receiver(io, {"127.0.0.1:0"}, {2}, clock, log);
    std::vector<std::uint64_t> handled;
    std::vector<std::uint64_t> failed;
    recorder unused;
    sender.start(unused.handlers());
    auto handlers = unused.handlers();
    handlers.received = [&](const frame& message) {
        if (message.attempt.call == 2) {
            throw std::runtime_error("no memory left");
        }
        handled.push_back(message.attempt.call);
    };
    handlers.failed = [&](const frame& message) {
        failed.push_back(message.attempt.call);
    };
    receiver.start(std::move(handlers));
    for (std::uint64_t call = 1; call <= 3; ++call) {
        sender.send(receiver.self(), credit_frame(call));
    }
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (handled.size() < 2 && std::chrono::steady_clock::now() < end) {
        io.run_one_for(std::chrono::milliseconds(10));
    }
    CHECK(handled == std::vector<std::uint64_t>{1, 3});
    CHECK(failed == std::vector<std::uint64_t>{2});
    REQUIRE(log.lines.size() == 1);
    CHECK(log.lines.front().id == logging::event_id::frame_failed);
    CHECK(log.lines.front().fields.at("why") == "no memory left");
}
