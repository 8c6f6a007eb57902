#pragma once

#include "core/system_clock.h"
#include "gate/tests/gate_fixture.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::gate::tests {

/// How the scripted backend server ends its connection after the last byte.
enum class ending { stays_open, shut_down, closed, reset };

/// How a request states the end of its body.
enum class framing { length, chunks };

/// What a gate sent to the entry for one attempt.
struct sent_answer {
    std::optional<unsigned> status;
    std::string body;
    bool complete = false;
    std::optional<transport::attempt_end> failure;
};

/// A gate whose backend server answers with prescribed bytes. The protocol: answers echo the request's name
/// in Request-Name, status 421 means that the request did not run, and answers may end with their connection.
class scripted_gate {
public:
    scripted_gate();

    /// Sends a request named "mine", for which the gate opens a connection, and answers it.
    [[nodiscard]] sent_answer answer_with(const std::vector<std::string>& pieces, ending last);

    /// Sends a request named "mine" with a body of which the backend server reads nothing, and waits until
    /// the gate's writing stalls. The rest of the body never comes, and the answer has no credit yet.
    void begin_upload(framing body);

    /// The same with a body that comes to the gate together with the request's head.
    void begin_complete_upload();

    /// Writes bytes of the answer and waits until the gate has done all it can with them.
    void answer(const std::string& bytes);

    /// Ends the backend server's connection and waits until the gate has done all it can.
    void end_connection(ending how);

    /// Grants credit for the rest of the answer, as its entry would.
    void grant_credit();

    /// Waits for the end of the call and returns what the gate has sent for it.
    [[nodiscard]] sent_answer finish();

    /// Answers a further request on the same connection, which stays open afterwards.
    [[nodiscard]] sent_answer answer_next_with(const std::string& name, const std::string& bytes);

    /// Sends a request and writes `beginning` and then `repeated` until the gate closes the connection;
    /// returns the number of bytes written after `beginning`.
    [[nodiscard]] std::size_t answer_endlessly(const std::string& beginning, const std::string& repeated);

    /// Cancels the last request, as its entry would.
    void cancel();

    /// Returns what the gate has sent for the last request.
    [[nodiscard]] sent_answer collect() const;

    /// Whether no call is in flight at the gate.
    [[nodiscard]] bool is_idle() const { return m_fixture.service.counters().in_flight == 0; }

    /// Number of bytes written by answer_endlessly() after which the request is cancelled; nullopt for never.
    std::optional<std::size_t> cancel_after;

private:
    void begin_request(const std::string& name);
    void begin_stalled(transport::request_head head);
    void receive(decltype(transport::frame::payload) payload);
    void settle();
    void write_pieces(const std::vector<std::string>& pieces);

    core::system_clock m_clock;
    gate_fixture m_fixture;
    std::optional<boost::asio::ip::tcp::socket> m_connection;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonlift::gate::tests
