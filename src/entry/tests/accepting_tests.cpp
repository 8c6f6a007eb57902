// Guards against an entry that stops serving after accept() failed for lack of file descriptors.
#include "entry/tests/wired_fleet.h"

#include "network/tcp_source.h"
#include "network/testing/failing_source.h"
#include "store/testing/manual_scheduler.h"
#include "testing/manual_clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;
using namespace std::chrono_literals;

namespace {

constexpr int failures = 3;

/// A fleet in which the first accepts of both entries fail; the test advances the pauses between retries.
struct exhausted_entries {
    struct entry_parts {
        std::shared_ptr<network::testing::failing_source> source;
        std::shared_ptr<store::testing::manual_scheduler> timer;
    };

    exhausted_entries() {
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
    }

    exhausted_entries(const exhausted_entries&) = delete;
    exhausted_entries& operator=(const exhausted_entries&) = delete;

    /// The fleet owns the io_context, which must outlive every socket.
    ~exhausted_entries() { parts.clear(); }

    network::listening_acceptor make(boost::asio::io_context& io) {
        const auto real = std::make_shared<network::tcp_source>(
            io, io.get_executor(),
            boost::asio::ip::tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
        const auto source = std::make_shared<network::testing::failing_source>(io, real, failures);
        const auto timer = std::make_shared<store::testing::manual_scheduler>(clock);
        parts.push_back({source, timer});
        return {std::make_shared<network::acceptor>(source, timer, clock), real->address()};
    }

    [[nodiscard]] std::uint64_t told() {
        return fleet.daemon(0).log().count(logging::event_id::callers_not_accepted);
    }

    testing::manual_clock clock;
    std::vector<entry_parts> parts;
    wired_fleet fleet{{}, 1, [this](boost::asio::io_context& io) {
                          return make(io);
                      }};
};

} // namespace

TEST_CASE("an entry serves callers again after accept failed for lack of descriptors", "[accepting]") {
    exhausted_entries entries;
    auto& fleet = entries.fleet;
    const auto& source = *entries.parts.front().source;
    auto& timer = *entries.parts.front().timer;
    std::vector<caller_answer> answers;
    constexpr std::size_t callers = 4;
    for (std::size_t number = 0; number < callers; ++number) {
        caller_request request;
        request.target = "/answer/" + std::to_string(number) + "/20";
        fleet.call(0, request, [&](caller_answer answer) { answers.push_back(std::move(answer)); });
    }
    for (int number = 1; number <= failures; ++number) {
        INFO("failure " << number);
        REQUIRE(fleet.run_until([&] { return source.failed() == number; }));
        timer.run_for(network::acceptor::pause - 1ns);
        fleet.run_ready();
        CHECK(source.asked() == number);
        CHECK(answers.empty());
        timer.run_for(1ns);
        CHECK(source.asked() == number + 1);
    }
    CHECK(entries.told() == 1);
    REQUIRE(fleet.run_until([&] { return answers.size() == callers; }));
    for (const auto& answer : answers) {
        CHECK(answer.whole);
        CHECK(answer.status == 200);
        CHECK(answer.verdict == "ran");
    }
    CHECK(source.asked() == failures + 1 + static_cast<int>(callers));
    CHECK(entries.told() == 1);
}

TEST_CASE("close_idle_connections closes a connection that waits for a request", "[entry]") {
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    auto& io = fleet.io();
    const auto address = fleet.daemon(0).caller_address();
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    boost::asio::ip::tcp::socket caller(io);
    caller.connect({boost::asio::ip::address_v4::loopback(), port});
    const std::string request = "GET /answer/1/10 HTTP/1.1\r\nHost: h\r\nMonsoonlift-Service: mappa\r\n\r\n";
    boost::asio::write(caller, boost::asio::buffer(request));
    std::string got(4096, '\0');
    std::size_t answered = 0;
    caller.async_read_some(boost::asio::buffer(got),
                           [&](const boost::system::error_code&, std::size_t bytes) { answered = bytes; });
    REQUIRE(fleet.run_until([&] { return answered > 0; }));
    CHECK(got.starts_with("HTTP/1.1 200"));
    fleet.daemon(0).entry().close_idle_connections();
    bool ended = false;
    caller.async_read_some(boost::asio::buffer(got),
                           [&](const boost::system::error_code& failure, std::size_t) {
                               ended = failure == boost::asio::error::eof;
                           });
    CHECK(fleet.run_until([&] { return ended; }));
}
