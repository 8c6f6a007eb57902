#include "admin/admin_server.h"

#include "network/address_text.h"
#include "network/tcp_source.h"
#include "network/testing/failing_source.h"
#include "store/testing/manual_scheduler.h"
#include "testing/manual_clock.h"
#include "testing/pouring_peer.h"
#include "testing/recording_log.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <utility>

using namespace monsoonlift;
using namespace std::chrono_literals;

namespace {

using boost::asio::ip::tcp;

constexpr int failures = 3;
constexpr int most_turns = 1'000'000;

/// An admin server whose first accepts fail for lack of file descriptors.
struct exhausted_port {
    network::listening_acceptor connections() { return {acceptor, real->address()}; }

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
    std::shared_ptr<network::acceptor> acceptor = std::make_shared<network::acceptor>(source, timer, clock);
    admin::admin_server server{connections(), "secret", log};
};

} // namespace

TEST_CASE("the admin port answers requests after accepting connections failed", "[admin]") {
    exhausted_port port;
    port.server.route("GET", "/health", admin::access::open, [](const admin::admin_request&) {
        return admin::admin_response{200, "text/plain", "up"};
    });
    port.server.start();
    tcp::socket client(port.io);
    client.connect(port.real->address());
    boost::asio::write(client, boost::asio::buffer(std::string("GET /health HTTP/1.0\r\n\r\n")));
    std::string answer;
    bool ended = false;
    boost::asio::async_read(client, boost::asio::dynamic_buffer(answer),
                            [&](const boost::system::error_code&, std::size_t) { ended = true; });
    for (int number = 1; number <= failures; ++number) {
        port.run_until([&] { return port.source->failed() == number; });
        port.timer->run_for(network::acceptor::pause - 1ns);
        CHECK(port.source->asked() == number);
        port.timer->run_for(1ns);
        CHECK(port.source->asked() == number + 1);
    }
    CHECK_FALSE(ended);
    REQUIRE(port.log.lines.size() == 1);
    CHECK(port.log.lines[0].id == logging::event_id::admin_not_accepted);
    port.run_until([&] { return ended; });
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.0 200"));
    CHECK_THAT(answer, Catch::EndsWith("up"));
}

TEST_CASE("a deferred response goes to the client that sent the request", "[admin]") {
    boost::asio::io_context io;
    const testing::manual_clock clock;
    testing::recording_log log;
    admin::admin_server server(io, "127.0.0.1:0", "", clock, log);
    std::map<std::string, admin::admin_reply> waiting;
    server.route_deferred("POST", "/later/", admin::access::open,
                          [&](const admin::admin_request& request, admin::admin_reply reply) {
                              waiting[request.path] = std::move(reply);
                          });
    server.start();
    const auto run_until = [&](const std::function<bool()>& reached) {
        for (int turn = 0; turn < most_turns && !reached(); ++turn) {
            io.run_one();
        }
        REQUIRE(reached());
    };
    const std::string paths[] = {"/later/first", "/later/second"};
    tcp::socket callers[] = {tcp::socket(io), tcp::socket(io)};
    std::string answers[2];
    std::size_t ended = 0;
    for (std::size_t index = 0; index < 2; ++index) {
        callers[index].connect(network::parse_address(server.address()));
        boost::asio::write(callers[index], boost::asio::buffer("POST " + paths[index] + " HTTP/1.0\r\n\r\n"));
        boost::asio::async_read(callers[index], boost::asio::dynamic_buffer(answers[index]),
                                [&](const boost::system::error_code&, std::size_t) { ++ended; });
    }
    run_until([&] { return waiting.size() == 2; });
    CHECK(ended == 0);
    waiting["/later/second"]({503, "text/plain", "second"});
    run_until([&] { return ended == 1; });
    CHECK_THAT(answers[1], Catch::StartsWith("HTTP/1.0 503") && Catch::EndsWith("second"));
    waiting["/later/first"]({200, "text/plain", "first"});
    run_until([&] { return ended == 2; });
    CHECK_THAT(answers[0], Catch::StartsWith("HTTP/1.0 200") && Catch::EndsWith("first"));
}

// Guards against a heartbeat or a request of administration whose bytes without end take all memory (LOST).
TEST_CASE("a message without end gets an error and its connection is closed, and others are served",
          "[admin]") {
    struct endless_case {
        std::string beginning;
        std::string repeated;
        std::string status;
    };
    const std::string chunked = "POST /health HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto tried =
        GENERATE_COPY(values<endless_case>({{chunked + "5;", "x", "413"},
                                            {chunked + "5", "0", "413"},
                                            {chunked + "0\r\n", "X-Trailer: x\r\n", "413"},
                                            {chunked, "5\r\nright\r\n", "413"},
                                            {"GET /health HTTP/1.1\r\n", "X-Field: x\r\n", "413"},
                                            {"noise", "noise", "413"},
                                            {"noise\r\n\r\n", "noise", "400"}}));
    CAPTURE(tried.beginning, tried.repeated);
    exhausted_port port;
    admin::admin_server server(port.io, "127.0.0.1:0", "secret", port.clock, port.log);
    server.route("GET", "/health", admin::access::open, [](const admin::admin_request&) {
        return admin::admin_response{200, "text/plain", "up"};
    });
    server.start();
    tcp::socket connected(port.io);
    connected.connect(network::parse_address(server.address()));
    testing::pouring_peer client(std::move(connected), tried.beginning, tried.repeated);
    client.start();
    port.run_until(
        [&] { return client.received().find("\r\n\r\n") != std::string::npos || client.has_ended(); });
    CHECK_THAT(client.received(), Catch::StartsWith("HTTP/1.1 " + tried.status));
    client.stop();
    tcp::socket other(port.io);
    other.connect(network::parse_address(server.address()));
    boost::asio::write(other, boost::asio::buffer(std::string("GET /health HTTP/1.0\r\n\r\n")));
    std::string answer;
    bool ended = false;
    boost::asio::async_read(other, boost::asio::dynamic_buffer(answer),
                            [&](const boost::system::error_code&, std::size_t) { ended = true; });
    port.run_until([&] { return ended; });
    CHECK_THAT(answer, Catch::StartsWith("HTTP/1.0 200"));
}

TEST_CASE("a request whose handler throws gets no answer, or its connection is closed", "[admin]") {
    boost::asio::io_context io;
    testing::manual_clock clock;
    testing::recording_log log;
    admin::admin_server server(io, "127.0.0.1:0", "secret", clock, log);
    const auto fail = [](const admin::admin_request&) -> admin::admin_response {
        throw std::runtime_error("no memory left");
    };
    server.route("GET", "/immediate", admin::access::open, fail);
    server.route_deferred(
        "GET", "/deferred", admin::access::open,
        [&](const admin::admin_request& request, const admin::admin_reply& reply) { reply(fail(request)); });
    server.start();
    tcp::socket client(io);
    client.connect(network::parse_address(server.address()));
    const std::string both = "GET /immediate HTTP/1.1\r\nHost: a\r\n\r\n"
                             "GET /deferred HTTP/1.0\r\n\r\n";
    boost::asio::write(client, boost::asio::buffer(both));
    std::string answers;
    bool ended = false;
    boost::asio::async_read(client, boost::asio::dynamic_buffer(answers),
                            [&](const boost::system::error_code&, std::size_t) { ended = true; });
    while (!ended) {
        REQUIRE(io.run_one() == 1);
    }
    server.stop();
    CHECK(answers.starts_with("HTTP/1.1 500"));
    CHECK(answers.find("HTTP/1.0 500") != std::string::npos);
    REQUIRE(log.lines.size() == 2);
    CHECK(log.lines[0].id == logging::event_id::handler_failed);
    CHECK(log.lines[0].fields.at("work") == "GET /immediate");
}
