// Tests a transport whose accepts fail as they do when the process is out of file descriptors.
#include "transport/tcp_transport.h"

#include "network/tcp_source.h"
#include "network/testing/failing_source.h"
#include "store/testing/manual_scheduler.h"
#include "testing/manual_clock.h"
#include "testing/recording_log.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>

using namespace monsoonlift;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr int failures = 3;
constexpr int most_turns = 1'000'000;

/// A transport whose first accepts fail for lack of file descriptors; tests advance the pause between
/// accepts.
struct exhausted_transport {
    void run_until(const std::function<bool()>& reached) {
        for (int turn = 0; turn < most_turns && !reached(); ++turn) {
            io.run_one();
        }
        REQUIRE(reached());
    }

    boost::asio::io_context io;
    testing::manual_clock clock;
    testing::recording_log log;
    std::shared_ptr<network::tcp_source> real = std::make_shared<network::tcp_source>(
        io, io.get_executor(), tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    std::shared_ptr<network::testing::failing_source> source =
        std::make_shared<network::testing::failing_source>(io, real, failures);
    std::shared_ptr<store::testing::manual_scheduler> timer =
        std::make_shared<store::testing::manual_scheduler>(clock);
    transport::tcp_transport peers{
        io,
        {std::make_shared<network::acceptor>(source, timer, clock), real->address()},
        core::incarnation{1},
        clock,
        log};
};

} // namespace

TEST_CASE("a transport accepts peers again after it ran out of file descriptors", "[accepting]") {
    exhausted_transport port;
    port.peers.start({[](const transport::frame&) {}, [](const transport::unsent_frame&) {},
                      [](const transport::unsent_frame&) {
                      }});
    tcp::socket peer(port.io);
    peer.connect(port.real->address());
    const std::string over_long(4, '\xff');
    boost::asio::write(peer, boost::asio::buffer(over_long));
    std::string answer;
    bool closed = false;
    boost::asio::async_read(peer, boost::asio::dynamic_buffer(answer),
                            [&](const boost::system::error_code&, std::size_t) { closed = true; });
    for (int number = 1; number <= failures; ++number) {
        port.run_until([&] { return port.source->failed() == number; });
        port.timer->run_for(network::acceptor::pause - 1ns);
        CHECK(port.source->asked() == number);
        port.timer->run_for(1ns);
        CHECK(port.source->asked() == number + 1);
    }
    CHECK_FALSE(closed);
    REQUIRE(port.log.lines.size() == 1);
    CHECK(port.log.lines[0].id == logging::event_id::peers_not_accepted);
    port.run_until([&] { return closed; });
    CHECK(answer.empty());
    REQUIRE(port.log.lines.size() == 2);
    CHECK(port.log.lines[1].id == logging::event_id::frame_corrupt);
    CHECK(port.peers.counters().corrupt == 1);
}
