#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace monsoonlift::entry::testing {

/// A backend server on a loopback port. "GET /answer/N/BYTES" gives a body that only this request at this
/// server has, "GET /answer/late/BYTES" one in chunks whose head and first size come well before the rest;
/// "POST /effect/N" counts a run and gives its request body back.
class loopback_backend {
public:
    loopback_backend(boost::asio::io_context& io, std::string name);

    [[nodiscard]] const std::string& name() const { return m_name; }

    /// "ip:port".
    [[nodiscard]] std::string address() const;

    /// Runs of each target of POST.
    [[nodiscard]] const std::map<std::string, std::uint64_t>& runs() const { return m_runs; }

private:
    boost::asio::awaitable<void> accept_all();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> answer_late(boost::asio::ip::tcp::socket& socket, std::string body);

    std::string m_name;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::map<std::string, std::uint64_t> m_runs;
};

/// The body that the server of this name gives for a target of GET or for a request body of POST.
[[nodiscard]] std::string expected_body(const std::string& backend, const std::string& method,
                                        const std::string& target, const std::string& body);

} // namespace monsoonlift::entry::testing
