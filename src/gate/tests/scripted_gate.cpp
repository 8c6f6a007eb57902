#include "gate/tests/scripted_gate.h"

#include "gate/tests/request_frame.h"

#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <variant>

namespace monsoonlift::gate::tests {

using namespace std::chrono_literals;

namespace {

constexpr std::chrono::milliseconds pause_between_pieces = 20ms;

/// More than a gate reads of any answer that it does not forward.
constexpr std::size_t endless_bytes = 256 * 1024 * 1024;

/// Most bytes that are written at once.
constexpr std::size_t block_bytes = 4096;

/// Receive buffer of the backend server's connections; small, so that the gate's writing stalls early.
constexpr int backend_receive_buffer = 4096;

/// More than the buffers of both ends of a connection hold.
constexpr std::size_t stalling_chunk_bytes = 1024 * 1024;
constexpr unsigned stalling_chunks = 8;

/// Repeats a text to a block of about block_bytes.
std::string block_of(const std::string& repeated) {
    std::string block;
    do {
        block += repeated;
    } while (block.size() + repeated.size() <= block_bytes);
    return block;
}

gate_options echoing_options() {
    gate_options chosen;
    chosen.protocol.echoed_id_header = "Request-Name";
    chosen.protocol.answers_may_end_with_connection = true;
    chosen.protocol.is_refusal = [](unsigned status, const boost::beast::http::fields&) {
        return status == 421;
    };
    return chosen;
}

} // namespace

scripted_gate::scripted_gate() : m_fixture(m_clock, echoing_options()) {
    m_fixture.backend.set_option(boost::asio::socket_base::receive_buffer_size(backend_receive_buffer));
    m_fixture.announce("first");
    m_fixture.service.start();
}

void scripted_gate::begin_request(const std::string& name) {
    ++m_calls;
    auto message = request_frame(m_calls, m_clock.now() + 60s, {{"Request-Name", name}});
    m_fixture.service.received(message);
    // NOTE: a streamed answer needs credit, which an entry grants when it receives the answer's head.
    message.payload = transport::credit{16};
    m_fixture.service.received(message);
}

void scripted_gate::receive(decltype(transport::frame::payload) payload) {
    auto message = request_frame(m_calls, m_clock.now() + 60s);
    message.payload = std::move(payload);
    m_fixture.service.received(message);
}

void scripted_gate::cancel() {
    receive(transport::cancel());
}

void scripted_gate::grant_credit() {
    receive(transport::credit{16});
    settle();
}

void scripted_gate::settle() {
    m_fixture.io.run_for(pause_between_pieces);
}

void scripted_gate::begin_stalled(transport::request_head head) {
    ++m_calls;
    head.headers.push_back({"Request-Name", "mine"});
    auto message = request_frame(m_calls, m_clock.now() + 60s, std::move(head.headers));
    auto& sent = std::get<transport::request_head>(message.payload);
    sent.method = "POST";
    sent.body = std::move(head.body);
    sent.total = head.total;
    m_fixture.service.received(message);
    m_connection = m_fixture.accept();
}

void scripted_gate::begin_upload(framing body) {
    const auto bytes = std::string(stalling_chunk_bytes, 'x');
    transport::request_head head;
    if (body == framing::length) {
        const auto more_than_comes = stalling_chunk_bytes * (stalling_chunks + 1);
        head.headers.push_back({"Content-Length", std::to_string(more_than_comes)});
    }
    begin_stalled(std::move(head));
    for (unsigned chunk = 0; chunk < stalling_chunks; ++chunk) {
        receive(transport::body_chunk{chunk * stalling_chunk_bytes, bytes});
    }
    settle();
}

void scripted_gate::begin_complete_upload() {
    transport::request_head head;
    head.body = std::string(stalling_chunk_bytes * stalling_chunks, 'x');
    head.total = transfer::total_of(head.body);
    begin_stalled(std::move(head));
    settle();
}

void scripted_gate::answer(const std::string& bytes) {
    boost::asio::write(*m_connection, boost::asio::buffer(bytes));
    settle();
}

void scripted_gate::end_connection(ending how) {
    if (how == ending::shut_down) {
        m_connection->shutdown(boost::asio::ip::tcp::socket::shutdown_send);
    }
    if (how == ending::reset) {
        m_connection->set_option(boost::asio::socket_base::linger(true, 0));
    }
    if (how == ending::closed || how == ending::reset) {
        m_connection->close();
    }
    settle();
}

sent_answer scripted_gate::finish() {
    REQUIRE(m_fixture.run_until_idle());
    return collect();
}

void scripted_gate::write_pieces(const std::vector<std::string>& pieces) {
    for (const auto& piece : pieces) {
        boost::asio::write(*m_connection, boost::asio::buffer(piece));
        m_fixture.io.run_for(pause_between_pieces);
    }
}

sent_answer scripted_gate::answer_with(const std::vector<std::string>& pieces, ending last) {
    begin_request("mine");
    m_connection = m_fixture.accept();
    REQUIRE(m_fixture.read_request(*m_connection));
    write_pieces(pieces);
    end_connection(last);
    return finish();
}

sent_answer scripted_gate::answer_next_with(const std::string& name, const std::string& bytes) {
    begin_request(name);
    REQUIRE(m_fixture.read_request(*m_connection));
    write_pieces({bytes});
    REQUIRE(m_fixture.run_until_idle());
    return collect();
}

std::size_t scripted_gate::answer_endlessly(const std::string& beginning, const std::string& repeated) {
    begin_request("mine");
    m_connection = m_fixture.accept();
    REQUIRE(m_fixture.read_request(*m_connection));
    boost::asio::write(*m_connection, boost::asio::buffer(beginning));
    const auto block = block_of(repeated);
    std::size_t written = 0;
    bool ended = false;
    std::function<void()> write_more = [&] {
        m_connection->async_write_some(boost::asio::buffer(block) + written % block.size(),
                                       [&](const boost::system::error_code& failure, std::size_t bytes) {
                                           written += bytes;
                                           if (cancel_after && written >= *cancel_after) {
                                               cancel_after.reset();
                                               cancel();
                                           }
                                           ended = failure || written > endless_bytes;
                                           if (!ended) {
                                               write_more();
                                           }
                                       });
    };
    write_more();
    REQUIRE(m_fixture.run_until([&] { return ended; }));
    REQUIRE(m_fixture.run_until_idle());
    return written;
}

sent_answer scripted_gate::collect() const {
    sent_answer result;
    for (const auto& message : m_fixture.sender.sent) {
        if (message.attempt.call != m_calls) {
            continue;
        }
        if (const auto* head = std::get_if<transport::response_head>(&message.payload)) {
            result.status = head->status;
            result.body = head->body;
            result.complete = head->total.has_value();
        } else if (const auto* chunk = std::get_if<transport::body_chunk>(&message.payload)) {
            result.body += chunk->data;
        } else if (std::holds_alternative<transport::body_end>(message.payload)) {
            result.complete = true;
        } else if (const auto* failed = std::get_if<transport::attempt_end>(&message.payload)) {
            result.failure = *failed;
        }
    }
    return result;
}

} // namespace monsoonlift::gate::tests
