// What a gate makes of answers that are late, of another request, cut short, or end with their connection.
#include "core/system_clock.h"
#include "gate/tests/gate_rig.h"
#include "gate/tests/request_frame.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

using namespace monsoonlift;
using namespace monsoonlift::gate;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

backend_protocol echoing_protocol() {
    backend_protocol protocol;
    protocol.echoed_id_header = "Request-Name";
    protocol.answers_may_end_with_connection = true;
    protocol.is_refusal = [](unsigned status, const boost::beast::http::fields&) {
        return status == 421;
    };
    return protocol;
}

/// How the scripted backend server ends its connection.
enum class ending { stays_open, closed, reset };

/// What a gate told the entry.
struct told {
    std::optional<unsigned> status;
    std::string body;
    bool whole = false;
    std::optional<transport::attempt_end> failure;
};

/// One request at a gate whose backend server answers with prescribed bytes.
class scripted_gate {
public:
    scripted_gate() { m_rig.announce("first"); }

    told answer_with(const std::vector<std::string>& pieces, ending last) {
        begin_request();
        auto connection = m_rig.accept();
        REQUIRE(m_rig.read_request(connection));
        for (const auto& piece : pieces) {
            boost::asio::write(connection, boost::asio::buffer(piece));
            m_rig.io.run_for(pause_between_pieces);
        }
        end(connection, last);
        REQUIRE(m_rig.run_until_idle());
        return collect();
    }

private:
    static constexpr auto pause_between_pieces = 20ms;

    static gate_options options() {
        gate_options chosen;
        chosen.protocol = echoing_protocol();
        return chosen;
    }

    void begin_request() {
        auto message = tests::request_frame(1, m_clock.now() + 60s, {{"Request-Name", "mine"}});
        m_rig.service.received(message);
        // NOTE: a streamed answer needs credit, which an entry grants with the answer's head.
        message.payload = transport::credit{16};
        m_rig.service.received(message);
    }

    static void end(tcp::socket& connection, ending last) {
        if (last == ending::reset) {
            connection.set_option(boost::asio::socket_base::linger(true, 0));
        }
        if (last != ending::stays_open) {
            connection.close();
        }
    }

    told collect() const {
        told result;
        for (const auto& message : m_rig.sender.sent) {
            if (const auto* head = std::get_if<transport::response_head>(&message.payload)) {
                result.status = head->status;
                result.body = head->body;
                result.whole = head->total.has_value();
            } else if (const auto* chunk = std::get_if<transport::body_chunk>(&message.payload)) {
                result.body += chunk->data;
            } else if (std::holds_alternative<transport::body_end>(message.payload)) {
                result.whole = true;
            } else if (const auto* failed = std::get_if<transport::attempt_end>(&message.payload)) {
                result.failure = *failed;
            }
        }
        return result;
    }

    core::system_clock m_clock;
    tests::gate_rig m_rig{m_clock, options()};
};

const std::string own_head = "HTTP/1.1 200 OK\r\nRequest-Name: mine\r\n";

} // namespace

TEST_CASE("an answer of another request is dropped and the own one is passed on", "[backend_answer]") {
    const std::string other_whole =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nContent-Length: 5\r\n\r\nwrong";
    const std::string other_in_chunks =
        "HTTP/1.1 200 OK\r\nRequest-Name: other\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n";
    for (const auto& other : {other_whole, other_in_chunks}) {
        scripted_gate gate;
        const auto got =
            gate.answer_with({other, own_head + "Content-Length: 5\r\n\r\nright"}, ending::stays_open);
        CHECK(got.status == 200);
        CHECK(got.body == "right");
        CHECK(got.whole);
    }
}

TEST_CASE("an answer of another request that has no end is no answer", "[backend_answer]") {
    scripted_gate gate;
    const auto got =
        gate.answer_with({"HTTP/1.1 200 OK\r\nRequest-Name: other\r\n\r\nwrong"}, ending::closed);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}

TEST_CASE("an answer that ends with its connection is whole only if that closes in order",
          "[backend_answer]") {
    struct ending_case {
        ending last;
        bool whole;
    };
    for (const auto& wanted : {ending_case{ending::closed, true}, ending_case{ending::reset, false}}) {
        scripted_gate gate;
        const auto got = gate.answer_with({own_head + "\r\nfirst ", "second"}, wanted.last);
        CHECK(got.whole == wanted.whole);
        if (wanted.whole) {
            CHECK(got.body == "first second");
        }
    }
}

TEST_CASE("an answer cut short of its length is not whole", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({own_head + "Content-Length: 50\r\n\r\nshort"}, ending::closed);
    CHECK_FALSE(got.whole);
    REQUIRE(got.failure);
    CHECK(got.failure->reason == transport::end_reason::backend_failed);
}

TEST_CASE("a refusal of the backend server's protocol says that nothing ran", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"HTTP/1.1 421 Misdirected Request\r\nRequest-Name: mine\r\n"
                                       "Content-Length: 0\r\n\r\n"},
                                      ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::not_run);
}

TEST_CASE("bytes that are no answer are passed on to nobody", "[backend_answer]") {
    scripted_gate gate;
    const auto got = gate.answer_with({"SMTP ready, go on\r\n\r\n"}, ending::stays_open);
    CHECK_FALSE(got.status);
    REQUIRE(got.failure);
    CHECK(got.failure->run == core::verdict::may_have_run);
}
