#include "store/http_client.h"

#include "store/settled.h"
#include "testing/pouring_peer.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>

using namespace monsoonlift;
using namespace monsoonlift::store;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

/// A client and a peer that answers with prescribed bytes.
class scripted_peer {
public:
    /// Sends a request and waits for the peer's end of its connection.
    void begin(http_request request) {
        m_settled.reset();
        m_io.restart();
        m_client.send(address(), std::move(request), 1min, [this](core::result<http_reply> answered) {
            m_settled = settle_result(std::move(answered));
        });
        if (m_connection.is_open()) {
            return;
        }
        m_acceptor.async_accept(m_connection, [](const boost::system::error_code&) {});
        run_until([this] { return m_connection.is_open(); });
    }

    /// Writes bytes of an answer, unless the client has closed the connection, and lets the client read them.
    void write(const std::string& bytes) {
        boost::system::error_code ignored;
        boost::asio::write(m_connection, boost::asio::buffer(bytes), ignored);
        m_io.run_for(20ms);
    }

    /// Closes the connection, with a reset if so asked.
    void close(bool with_reset) {
        m_connection.set_option(boost::asio::socket_base::linger(with_reset, 0));
        m_connection.close();
    }

    /// Waits for the outcome of the request.
    settled<http_reply> finish() {
        run_until([this] { return m_settled.has_value(); });
        return *std::move(m_settled);
    }

    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    template <class Reached> void run_until(Reached reached) {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (!reached() && std::chrono::steady_clock::now() < end) {
            m_io.run_one_for(20ms);
        }
        REQUIRE(reached());
    }

    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor{m_io, {boost::asio::ip::address_v4::loopback(), 0}};
    tcp::socket m_connection{m_io};
    http_client m_client{m_io.get_executor()};
    std::optional<settled<http_reply>> m_settled;
};

const http_request read_request{"GET", "/", {}, {}};

http_request writing_request(std::string body) {
    return {"PUT", "/", std::move(body), {}};
}

const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright";

void check_unknown_effect(const settled<http_reply>& got) {
    CHECK_FALSE(got.value);
    CHECK(got.failure.code == core::error_code::timeout);
    CHECK(got.failure.run == core::verdict::may_have_run);
}

} // namespace

// Guards against a call whose effect is unknown that is reported as refused, and against the answer of one
// call that is read as that of the next (MIXED).
TEST_CASE("a message whose status is none of HTTP is no answer, and its connection isn't used again",
          "[http_client]") {
    const std::string status = GENERATE("000", "099", "101", "600", "999");
    const std::string framing =
        GENERATE_COPY("Content-Length: " + std::to_string(whole_answer.size()) + "\r\n", std::string());
    CAPTURE(status, framing);
    scripted_peer peer;
    peer.begin(writing_request("value"));
    peer.write("HTTP/1.1 " + status + " Odd\r\n" + framing + "\r\n" + whole_answer);
    if (framing.empty()) {
        peer.close(false);
    }
    check_unknown_effect(peer.finish());
}

TEST_CASE("an interim answer is passed over, and the next call gets its own answer", "[http_client]") {
    scripted_peer peer;
    peer.begin(read_request);
    peer.write("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    peer.write(whole_answer);
    const auto first = peer.finish();
    REQUIRE(first.value);
    CHECK(first.value->status == 200);
    CHECK(first.value->body == "right");

    peer.begin(read_request);
    peer.write("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext");
    const auto second = peer.finish();
    REQUIRE(second.value);
    CHECK(second.value->body == "next");
}

TEST_CASE("an interim answer that states a body is no answer", "[http_client]") {
    const std::string framing = GENERATE_COPY("Content-Length: " + std::to_string(whole_answer.size()),
                                              std::string("Transfer-Encoding: chunked"));
    scripted_peer peer;
    peer.begin(read_request);
    peer.write("HTTP/1.1 103 Early Hints\r\n" + framing + "\r\n\r\n" + whole_answer);
    check_unknown_effect(peer.finish());
}

TEST_CASE("interim answers without end are given up", "[http_client]") {
    scripted_peer peer;
    peer.begin(read_request);
    for (int count = 0; count < 20; ++count) {
        peer.write("HTTP/1.1 102 Processing\r\n\r\n");
    }
    check_unknown_effect(peer.finish());
}

TEST_CASE("an answer without a length that is reset is no answer", "[http_client]") {
    const auto request = GENERATE_COPY(values<http_request>({read_request, writing_request("value")}));
    scripted_peer peer;
    peer.begin(request);
    peer.write("HTTP/1.1 200 OK\r\n\r\nfirst");
    peer.close(true);
    check_unknown_effect(peer.finish());
}

TEST_CASE("an answer without a length is no answer if a reset came while the request was written",
          "[http_client]") {
    scripted_peer peer;
    peer.begin(writing_request(std::string(16 * 1024 * 1024, 'x')));
    peer.write("HTTP/1.1 200 OK\r\n\r\nfirst");
    peer.close(true);
    check_unknown_effect(peer.finish());
}

TEST_CASE("an answer whose head has a malformed line is no answer", "[http_client]") {
    const std::string line =
        GENERATE("X Odd: a", "X-Odd : a", "X\tOdd: a", "X\x01Odd: a", "X\x7fOdd: a", ": a", "X-Odd a",
                 "Content-Length : 5", "X-Odd: a\x01", "Content-Length: -5");
    const auto split = GENERATE(20U, 26U);
    const auto answer = "HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 5\r\n\r\nright";
    CAPTURE(line, split);
    scripted_peer peer;
    peer.begin(read_request);
    peer.write(answer.substr(0, split));
    peer.write(answer.substr(split));
    check_unknown_effect(peer.finish());
}

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
