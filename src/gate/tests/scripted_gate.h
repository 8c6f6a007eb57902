#pragma once

#include "core/system_clock.h"
#include "gate/tests/gate_rig.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::gate::tests {

/// How the scripted backend server ends its connection.
enum class ending { stays_open, closed, reset };

/// What a gate told the entry of one attempt.
struct told {
    std::optional<unsigned> status;
    std::string body;
    bool whole = false;
    std::optional<transport::attempt_end> failure;
};

/// A gate whose backend server answers with prescribed bytes. Answers repeat the request's name, a 421 says
/// that nothing ran, and answers may end with their connection.
class scripted_gate {
public:
    scripted_gate();

    /// Sends a request named "mine", for which the gate makes a connection, and answers it.
    [[nodiscard]] told answer_with(const std::vector<std::string>& pieces, ending last);

    /// The same for further requests; the connection stays open afterwards.
    [[nodiscard]] told answer_next_with(const std::string& name, const std::string& bytes);

    /// Sends a request and writes `beginning` and then `repeated` until the gate ends the connection; gives
    /// how many bytes it let the backend server write.
    [[nodiscard]] std::size_t answer_endlessly(const std::string& beginning, const std::string& repeated);

    /// The entry gives the last request up.
    void cancel();

    /// What the gate told of the last request.
    [[nodiscard]] told collect() const;

    /// Whether no call is at the gate.
    [[nodiscard]] bool is_idle() const { return m_rig.service.counters().in_flight == 0; }

    /// After so many bytes written endlessly the entry gives the request up.
    std::optional<std::size_t> cancel_after;

private:
    void begin_request(const std::string& name);
    void read_request();
    void write_pieces(const std::vector<std::string>& pieces);

    core::system_clock m_clock;
    gate_rig m_rig;
    std::optional<boost::asio::ip::tcp::socket> m_connection;
    std::uint64_t m_calls = 0;
};

} // namespace monsoonlift::gate::tests
