#include "transport/frame_codec.h"
#include "transport/tests/swallowing_relay.h"
#include "transport/tests/two_daemons.h"

#include <boost/asio/read.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <numeric>
#include <optional>
#include <set>

using namespace monsoonlift;
using namespace monsoonlift::transport;
using namespace monsoonlift::transport::testing;
using boost::asio::ip::tcp;
using monsoonlift::transport::internal::max_frame_bytes;
using monsoonlift::transport::internal::prefix_bytes;
using monsoonlift::transport::internal::with_prefix;

namespace {

constexpr std::size_t most_admitted_bulk = 64;
constexpr std::size_t most_waiting = 512;

/// Size and number of bulk frames that together exceed what a link's queue and the kernel's buffers hold.
constexpr std::size_t bulk_bytes = 64 * 1024;
constexpr std::uint64_t more_than_held = 1'500;

/// A clock that stands still unless a test advances it, so queued frames don't expire by themselves.
class frozen_clock final : public core::clock {
public:
    [[nodiscard]] core::steady_time now() const override { return core::steady_time(m_now.load()); }
    [[nodiscard]] core::wall_time wall_now() const override { return {}; }
    void advance(std::chrono::nanoseconds step) { m_now = m_now.load() + step; }

private:
    std::atomic<std::chrono::nanoseconds> m_now{std::chrono::nanoseconds(0)};
};

/// For tests whose peer does not read on purpose.
transport_options patient_options() {
    transport_options options{"127.0.0.1:0"};
    options.silence_timeout = std::chrono::minutes(10);
    return options;
}

std::string encoded(frame message, core::incarnation receiver) {
    message.receiver = receiver;
    return with_prefix(encode(message, {}));
}

frame bulk_frame(std::uint64_t call, std::size_t bytes) {
    frame message;
    message.attempt = {{1}, call, 0};
    message.payload = body_chunk{0, std::string(bytes, 'b')};
    return message;
}

/// A peer that accepts connections and reads frames only when the test calls it.
class slow_peer {
public:
    slow_peer() {
        m_acceptor.open(tcp::v4());
        m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
        m_acceptor.set_option(boost::asio::socket_base::receive_buffer_size(4096));
        m_acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
        m_acceptor.listen();
    }

    core::endpoint_id id() const {
        return {"127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()), {7}};
    }

    tcp::socket accept() { return m_acceptor.accept(); }

    /// Refuses connections from now on.
    void stop_listening() { m_acceptor.close(); }

    /// Returns the next pending connection, or nothing if there is none.
    std::optional<tcp::socket> try_accept() {
        boost::system::error_code none;
        m_acceptor.non_blocking(true);
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, none);
        return none ? std::nullopt : std::optional(std::move(socket));
    }

    /// Returns the call number of the next frame of a call, or nothing at the end of the connection.
    static std::optional<std::uint64_t> read(tcp::socket& socket) {
        auto message = read_frame(socket);
        if (message && std::holds_alternative<link_opening>(message->payload)) {
            message = read_frame(socket);
        }
        return message ? std::optional(message->attempt.call) : std::nullopt;
    }

    /// Returns the next frame, or nothing at the end of the connection.
    static std::optional<frame> read_frame(tcp::socket& socket) {
        std::string bytes(prefix_bytes, '\0');
        boost::system::error_code ended;
        boost::asio::read(socket, boost::asio::buffer(bytes), ended);
        const auto length =
            std::accumulate(bytes.begin(), bytes.end(), std::size_t{0},
                            [](auto sum, char one) { return sum * 256 + static_cast<unsigned char>(one); });
        bytes.resize(ended ? 0 : length);
        boost::asio::read(socket, boost::asio::buffer(bytes), ended);
        return ended ? std::nullopt : decode(bytes, {});
    }

private:
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor{m_io};
};

struct malformed_input_case {
    std::string name;
    std::string bytes;
    std::uint64_t received = 0;
    std::uint64_t corrupt = 0;
    std::uint64_t wrong_incarnation = 0;
    bool closed = true; ///< Whether the daemon closes the connection.
};

std::vector<malformed_input_case> malformed_input_cases() {
    const std::string good = encoded(credit_frame(9), {2});
    return {{"a frame is cut off", good.substr(0, good.size() - 1), 0, 0, 0, false},
            {"a length is cut off", good.substr(0, prefix_bytes - 1), 0, 0, 0, false},
            {"garbage", "GET / HTTP/1.1\r\n\r\n", 1, 1, 0},
            {"a length beyond the longest frame", std::string("\x00\x20\x00\x01", prefix_bytes), 1, 1, 0},
            {"an empty frame", with_prefix(""), 1, 1, 0},
            {"a damaged frame after a good one", good + with_prefix("\xff\xff"), 2, 1, 0},
            {"a good frame after a damaged one", with_prefix("\xff\xff") + good, 1, 1, 0},
            {"a frame of another incarnation before a good one", encoded(credit_frame(9), {3}) + good, 2, 0,
             1, false}};
}

} // namespace

TEST_CASE("malformed input from a non-daemon client does not affect later frames", "[transport]") {
    const auto fault = GENERATE(from_range(malformed_input_cases()));
    CAPTURE(fault.name);
    two_daemons daemons;
    {
        raw_client writer(daemons.right.self().address);
        writer.write(fault.bytes);
        if (fault.closed) {
            REQUIRE(writer.is_closed());
        }
        while (daemons.right.counters().received < fault.received) {
            std::this_thread::yield();
        }
    }
    const auto good = fault.received - fault.corrupt - fault.wrong_incarnation;
    daemons.left.send(daemons.right.self(), credit_frame(1));
    const auto seen = daemons.right_seen.frames(good + 1);
    REQUIRE(seen.size() == good + 1);
    REQUIRE(seen.back().attempt.call == 1);
    const auto totals = daemons.right.counters();
    REQUIRE(totals.received == fault.received + 1);
    REQUIRE(totals.corrupt == fault.corrupt);
    REQUIRE(totals.wrong_incarnation == fault.wrong_incarnation);
}

TEST_CASE("frames that can't be sent are reported as unsent", "[transport]") {
    struct unsent_case {
        std::string address;
        frame message;
    };
    const auto tried = GENERATE(values<unsent_case>({{"127.0.0.1:1", credit_frame(3)},
                                                     {"no address", credit_frame(3)},
                                                     {"127.0.0.1:99999", credit_frame(3)},
                                                     {"", bulk_frame(3, 1)},
                                                     {"127.0.0.1:1", bulk_frame(3, max_frame_bytes)}}));
    CAPTURE(tried.address);
    two_daemons daemons;
    daemons.left.send({tried.address, {5}}, tried.message);
    const auto unsent = daemons.left_seen.unsent(1);
    REQUIRE(unsent.size() == 1);
    REQUIRE(unsent[0].attempt.call == 3);
    REQUIRE_FALSE(unsent[0].begins_attempt);
}

TEST_CASE(
    "a peer that reads nothing causes no unbounded queue, no unreported frame and no delay of small frames",
    "[transport]") {
    frozen_clock time;
    two_daemons daemons(patient_options(), &time);
    slow_peer peer;
    for (std::uint64_t call = 1; call <= more_than_held; ++call) {
        daemons.left.send(peer.id(), bulk_frame(call, bulk_bytes));
    }
    tcp::socket bulk = peer.accept();
    REQUIRE_FALSE(daemons.left_seen.unsent(1).empty());
    daemons.left.send(peer.id(), credit_frame(more_than_held + 1));
    tcp::socket small = peer.accept();
    REQUIRE(slow_peer::read(small) == more_than_held + 1);

    daemons.left.forget(peer.id().address);
    std::uint64_t taken = 0;
    while (const auto call = slow_peer::read(bulk)) {
        REQUIRE(*call == ++taken);
    }
    const auto cut = daemons.left_seen.cut(0);
    REQUIRE(cut.size() <= 1);
    const auto unsent = daemons.left_seen.unsent(more_than_held - taken - cut.size());
    REQUIRE(unsent.size() == more_than_held - taken - cut.size());
    REQUIRE(unsent.front().attempt.call > most_admitted_bulk + most_waiting);
    REQUIRE(unsent.front().attempt.call <= taken + most_admitted_bulk + most_waiting + 1);
    std::set<std::uint64_t> calls;
    for (const auto& one : unsent) {
        REQUIRE(one.attempt.call > taken + cut.size());
        REQUIRE(calls.insert(one.attempt.call).second);
    }
}

TEST_CASE("frames that a broken connection may have swallowed are sent again on the next, in order",
          "[transport]") {
    frozen_clock time;
    two_daemons daemons(patient_options(), &time);
    slow_peer peer;
    for (std::uint64_t call = 1; call <= more_than_held; ++call) {
        daemons.left.send(peer.id(), bulk_frame(call, bulk_bytes));
    }
    {
        tcp::socket broken = peer.accept();
        // NOTE: the second frame is begun once the first one counts as written whole.
        REQUIRE(slow_peer::read(broken) == 1);
        REQUIRE(slow_peer::read(broken) == 2);
        REQUIRE_FALSE(daemons.left_seen.unsent(1).empty());
    }
    tcp::socket again = peer.accept();
    const auto first = slow_peer::read_frame(again);
    REQUIRE(first);
    const auto& opening = std::get<link_opening>(first->payload);
    REQUIRE(opening.first_sequence > 1);
    const auto most_held = most_admitted_bulk + most_waiting;
    for (std::uint64_t sequence = opening.first_sequence; sequence <= most_held; ++sequence) {
        REQUIRE(slow_peer::read(again) == sequence);
    }
    REQUIRE(daemons.left_seen.cut(0).empty());
    for (const auto& one : daemons.left_seen.unsent(1)) {
        REQUIRE(one.attempt.call > most_held);
    }
}

TEST_CASE("a frame partially written to a peer that is gone is reported as cut, not as unsent",
          "[transport]") {
    frozen_clock time;
    two_daemons daemons(patient_options(), &time);
    slow_peer peer;
    const auto id = peer.id();
    for (std::uint64_t call = 1; call <= more_than_held; ++call) {
        daemons.left.send(id, bulk_frame(call, bulk_bytes));
    }
    {
        const tcp::socket closed_unread = peer.accept();
        REQUIRE_FALSE(daemons.left_seen.unsent(1).empty());
        peer.stop_listening();
    }
    while (daemons.left_seen.cut(0).empty()) {
        time.advance(std::chrono::milliseconds(100));
        std::this_thread::yield();
    }
    const auto cut = daemons.left_seen.cut(1);
    REQUIRE(cut.size() == 1);
    for (const auto& one : daemons.left_seen.unsent(1)) {
        REQUIRE(one.attempt.call > cut[0].attempt.call);
    }
}

TEST_CASE("a frame that a reset connection swallowed reaches the peer, and none reaches it twice",
          "[transport]") {
    two_daemons daemons;
    swallowing_relay relay(daemons.right.self().address);
    const core::endpoint_id through{relay.address(), daemons.right.self().life};
    for (std::uint64_t call = 1; call <= 20; ++call) {
        if (call % 5 == 0) {
            REQUIRE(daemons.right_seen.frames(call - 1).size() == call - 1);
            relay.swallow_next();
        }
        daemons.left.send(through, credit_frame(call));
    }
    const auto seen = daemons.right_seen.frames(20);
    REQUIRE(seen.size() == 20);
    for (std::size_t index = 0; index < seen.size(); ++index) {
        REQUIRE(seen[index].attempt.call == index + 1);
    }
}

TEST_CASE("an answer waits for a peer that can't be reached for a while, a request doesn't", "[transport]") {
    frozen_clock time;
    two_daemons daemons(patient_options(), &time);
    const core::endpoint_id absent = slow_peer().id();
    auto answer = credit_frame(1);
    answer.target = frame_target::entry;
    answer.expires = known_call_expiry(time.now() + std::chrono::seconds(5), time.now());
    daemons.left.send(absent, std::move(answer));
    frame request = credit_frame(2);
    request.payload = request_head{};
    daemons.left.send(absent, std::move(request));
    time.advance(std::chrono::seconds(4));
    const auto unsent = daemons.left_seen.unsent(1);
    REQUIRE(unsent.size() == 1);
    REQUIRE(unsent[0].attempt.call == 2);
    boost::asio::io_context io;
    tcp_transport late{io, {absent.address}, absent.life, daemons.clock, daemons.log};
    recorder seen;
    late.start(seen.handlers());
    while (late.counters().received == 0) {
        io.poll();
    }
    REQUIRE(seen.frames(1)[0].attempt.call == 1);
}

TEST_CASE("a restarted peer receives frames again", "[transport]") {
    two_daemons daemons;
    slow_peer peer;
    daemons.left.send(peer.id(), credit_frame(1));
    {
        tcp::socket earlier = peer.accept();
        REQUIRE(slow_peer::read(earlier) == 1U);
    }
    std::optional<tcp::socket> later;
    std::uint64_t sent = 1;
    while (!later) {
        daemons.left.send(peer.id(), credit_frame(++sent));
        std::this_thread::yield();
        later = peer.try_accept();
    }
    later->non_blocking(false);
    const auto opening = slow_peer::read_frame(*later);
    REQUIRE(opening);
    REQUIRE(std::get<link_opening>(opening->payload).first_sequence == 1);
    REQUIRE(slow_peer::read(*later) == 1U);
    const auto next = slow_peer::read(*later);
    REQUIRE(next);
    REQUIRE(*next > 1);
    REQUIRE(*next <= sent);
}

TEST_CASE("a peer that starts after refusing connections receives frames", "[transport]") {
    two_daemons daemons;
    const core::endpoint_id absent = slow_peer().id();
    daemons.left.send(absent, credit_frame(1));
    REQUIRE(daemons.left_seen.unsent(1).size() == 1);
    boost::asio::io_context io;
    tcp_transport late{io, {absent.address}, absent.life, daemons.clock, daemons.log};
    recorder seen;
    late.start(seen.handlers());
    while (late.counters().received == 0) {
        daemons.left.send(absent, credit_frame(2));
        io.poll();
    }
    REQUIRE(seen.frames(1)[0].attempt.call == 2);
}

TEST_CASE("frames of one sender keep their order while several connections are read", "[transport]") {
    constexpr std::uint64_t count = 500;
    constexpr std::uint32_t kinds = 2;
    frozen_clock time;
    two_daemons daemons({"127.0.0.1:0"}, &time);
    std::vector<std::thread> senders;
    for (std::uint32_t sender = 0; sender < 2 * kinds; ++sender) {
        senders.emplace_back([&daemons, sender] {
            auto& from = sender < kinds ? daemons.left : daemons.right;
            const auto to = sender < kinds ? daemons.right.self() : daemons.left.self();
            for (std::uint64_t call = 1; call <= count; ++call) {
                auto message = sender % kinds == 0 ? credit_frame(call) : bulk_frame(call, 100);
                message.attempt.attempt = sender % kinds;
                from.send(to, std::move(message));
            }
        });
    }
    for (auto& sender : senders) {
        sender.join();
    }
    for (auto* receiver : {&daemons.left_seen, &daemons.right_seen}) {
        const auto seen = receiver->frames(kinds * count);
        REQUIRE(seen.size() == kinds * count);
        std::array<std::uint64_t, kinds> last{};
        for (const auto& one : seen) {
            REQUIRE(one.attempt.call == ++last.at(one.attempt.attempt));
        }
    }
}
