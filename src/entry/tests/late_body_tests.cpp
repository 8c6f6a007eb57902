// A caller whose call has ended before its body has come.
#include "entry/tests/wired_fleet.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace monsoonlift;
using namespace monsoonlift::entry::testing;

namespace {

using tcp = boost::asio::ip::tcp;

/// More than an entry reads before it sends the request on.
constexpr std::size_t early_bytes = 80'000;
constexpr std::size_t late_bytes = 100;

/// Sends a part of its body at once, and the rest when told to.
class slow_uploader {
public:
    slow_uploader(boost::asio::io_context& io, const std::string& entry) : m_socket(io) {
        const auto port = static_cast<std::uint16_t>(std::stoul(entry.substr(entry.rfind(':') + 1)));
        m_socket.connect({boost::asio::ip::address_v4::loopback(), port});
    }

    void send_early_part(const std::string& patience_ms) {
        send("POST /effect/1 HTTP/1.1\r\nHost: x\r\nMonsoonlift-Service: mappa\r\nMonsoonlift-Timeout-Ms: " +
             patience_ms + "\r\nContent-Length: " + std::to_string(early_bytes + late_bytes) + "\r\n\r\n" +
             std::string(early_bytes, 'a'));
    }

    void send_rest() {
        send(std::string(late_bytes, 'a'));
        m_socket.shutdown(tcp::socket::shutdown_send);
    }

    void await_answer_head() {
        boost::asio::async_read_until(
            m_socket, m_answer, "\r\n\r\n",
            [this](const boost::system::error_code& failure, std::size_t) { m_has_answer = !failure; });
    }

    [[nodiscard]] bool has_answer() const { return m_has_answer; }

private:
    void send(const std::string& bytes) { boost::asio::write(m_socket, boost::asio::buffer(bytes)); }

    tcp::socket m_socket;
    boost::asio::streambuf m_answer;
    bool m_has_answer = false;
};

} // namespace

TEST_CASE("a call whose body ends after its answer is not kept for ever", "[late_body]") {
    std::weak_ptr<const configuration::document> rules;
    {
        wired_fleet fleet({}, 1);
        rules = fleet.rules();
        fleet.daemon(0).announce();
        fleet.daemon(1).announce();
        slow_uploader uploader(fleet.io(), fleet.daemon(0).caller_address());
        uploader.await_answer_head();
        uploader.send_early_part("200");
        REQUIRE(fleet.run_until([&] { return uploader.has_answer(); }));
        uploader.send_rest();

        bool is_later_answered = false;
        caller_request later;
        later.target = "/answer/2/10";
        fleet.call(0, later, [&](const caller_answer& answer) { is_later_answered = answer.whole; });
        REQUIRE(fleet.run_until([&] { return is_later_answered; }));
        REQUIRE(fleet.settle());
    }
    CHECK(rules.expired());
}
