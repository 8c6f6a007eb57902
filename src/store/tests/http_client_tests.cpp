#include "store/http_client.h"

#include "store/settled.h"
#include "testing/pouring_peer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>

using namespace monsoonlift;
using namespace monsoonlift::store;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

// Guards against an answer of the store, or of a peer, whose bytes without end take all memory (LOST).
TEST_CASE("an answer without end is given up with an error, and the next call is served", "[http_client]") {
    struct endless_case {
        std::string beginning;
        std::string repeated;
    };
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const auto tried = GENERATE_COPY(values<endless_case>({{chunked + "5;", "x"},
                                                           {chunked + "5", "0"},
                                                           {chunked + "0\r\n", "X-Trailer: x\r\n"},
                                                           {chunked, "5\r\nright\r\n"},
                                                           {"HTTP/1.1 200 OK\r\n", "X-Field: x\r\n"},
                                                           {"HTTP/1.1 200 OK\r\n\r\n", "x"},
                                                           {"", "noise"}}));
    CAPTURE(tried.beginning, tried.repeated);
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
    const auto address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(io.get_executor());

    std::optional<std::string> failure;
    client.send(address, {"GET", "/", {}, {}}, 1min, [&](core::result<http_reply> answered) {
        const auto settled = settle_result(std::move(answered));
        failure = settled.value ? "an answer" : settled.failure.message;
    });
    tcp::socket connected(io);
    acceptor.async_accept(connected, [](const boost::system::error_code&) {});
    while (!connected.is_open()) {
        io.run_one();
    }
    testing::pouring_peer peer(std::move(connected), tried.beginning, tried.repeated);
    peer.start();
    while (!failure && !peer.has_ended()) {
        io.run_one();
    }
    CHECK(peer.sent() < testing::pouring_peer::most_bytes);
    while (!failure) {
        io.run_one();
    }
    CHECK(failure->find("no answer from " + address) == 0);

    std::optional<bool> is_served;
    client.send(address, {"GET", "/", {}, {}}, 1min, [&](core::result<http_reply> answered) {
        is_served = settle_result(std::move(answered)).value.has_value();
    });
    tcp::socket next(io);
    acceptor.async_accept(next, [&](const boost::system::error_code&) {
        boost::asio::write(next,
                           boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")));
    });
    while (!is_served) {
        io.run_one();
    }
    CHECK(*is_served);
}
