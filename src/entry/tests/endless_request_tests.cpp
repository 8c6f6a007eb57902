// Guards against a caller whose bytes without end take the memory that the requests of all others need
// (LOST).
#include "entry/tests/wired_fleet.h"
#include "testing/pouring_peer.h"

#include <catch2/catch.hpp>

#include <string>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

const std::string chunked_head = "POST /effect/9 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\n"
                                 "Transfer-Encoding: chunked\r\n\r\n";

boost::asio::ip::tcp::socket connected_to(boost::asio::io_context& io, const std::string& address) {
    const auto port = static_cast<std::uint16_t>(std::stoul(address.substr(address.rfind(':') + 1)));
    boost::asio::ip::tcp::socket socket(io);
    socket.connect({boost::asio::ip::address_v4::loopback(), port});
    return socket;
}

} // namespace

TEST_CASE("a request whose extension, size or trailer has no end is refused, and others are served",
          "[endless_request]") {
    struct endless_case {
        std::string beginning;
        std::string repeated;
        std::string status;
    };
    const auto tried =
        GENERATE_COPY(values<endless_case>({{chunked_head + "5;", "x", "400"},
                                            {chunked_head + "5", "0", "400"},
                                            {chunked_head + "0\r\n", "X-Trailer: x\r\n", "400"},
                                            {"GET /answer/1 HTTP/1.1\r\n", "X-Field: x\r\n", "413"},
                                            {"GET /", "x", "413"}}));
    CAPTURE(tried.beginning, tried.repeated);
    wired_fleet fleet({}, 1);
    fleet.daemon(0).announce();
    fleet.daemon(1).announce();
    monsoonlift::testing::pouring_peer caller(connected_to(fleet.io(), fleet.daemon(0).caller_address()),
                                              tried.beginning, tried.repeated);
    caller.start();
    REQUIRE(fleet.run_until(
        [&] { return caller.received().find("\r\n\r\n") != std::string::npos || caller.has_ended(); }));
    CHECK_THAT(caller.received(), Catch::StartsWith("HTTP/1.1 " + tried.status));
    CHECK(caller.sent() < monsoonlift::testing::pouring_peer::most_bytes);
    caller.stop();

    caller_request request;
    request.target = "/answer/1/10";
    caller_answer answer;
    bool ended = false;
    fleet.call(0, request, [&](caller_answer got) {
        answer = std::move(got);
        ended = true;
    });
    REQUIRE(fleet.run_until([&] { return ended; }));
    CHECK(answer.status == 200);
    CHECK(fleet.daemon(0).backend().runs().empty());
    CHECK(fleet.daemon(1).backend().runs().empty());
}
