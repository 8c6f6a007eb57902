#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace monsoonlift::entry::testing {

/// A backend server on a loopback port. "GET /answer/N/BYTES" gives a body that only this request at this
/// server has, "GET /answer/late/BYTES" one in chunks whose head and first size come well before the rest,
/// "GET /answer/held/BYTES" one whose second half comes after release_answers(); "POST /effect/N" counts a
/// run and gives its request body back.
class loopback_backend {
public:
    loopback_backend(boost::asio::io_context& io, std::string name);

    [[nodiscard]] const std::string& name() const { return m_name; }

    /// "ip:port".
    [[nodiscard]] std::string address() const;

    /// Runs of each target of POST.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& runs() const { return m_runs; }

    /// Sends the rest of answers that are held now.
    void release_answers() { m_hold.cancel(); }

private:
    /// An answer in one chunk, whose end comes well after the early bytes.
    struct late_answer {
        std::string body;
        std::size_t early_bytes = 0;
    };

    boost::asio::awaitable<void> accept_all();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> answer_late(boost::asio::ip::tcp::socket& socket, late_answer answer,
                                             boost::asio::steady_timer& pause);

    std::string m_name;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_hold; ///< Held answers wait for its cancellation.
    std::map<std::string, std::uint64_t> m_runs;
};

/// The body that the server of this name gives for a target of GET or for a request body of POST.
[[nodiscard]] std::string expected_body(const std::string& backend, const std::string& method,
                                        const std::string& target, const std::string& body);

} // namespace monsoonlift::entry::testing
