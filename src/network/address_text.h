#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace monsoonlift::network {

/// Parses "ip:port"; throws boost::system::system_error if the text has another form.
[[nodiscard]] boost::asio::ip::tcp::endpoint parse_address(const std::string& text);

/// Formats the address as "ip:port".
[[nodiscard]] std::string to_text(const boost::asio::ip::tcp::endpoint& address);

} // namespace monsoonlift::network
