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
enum class ending { stays_open, closed, reset };

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
    void read_request();
    void write_pieces(const std::vector<std::string>& pieces);

    core::system_clock m_clock;
    gate_fixture m_fixture;
    std::optional<boost::asio::ip::tcp::socket> m_connection;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonlift::gate::tests
