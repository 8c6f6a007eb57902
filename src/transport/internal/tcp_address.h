#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace monsoonlift::transport::internal {

/// Parses "ip:port" ("[ip]:port" for IPv6); returns nothing if `address` is malformed.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& address);

/// Parses an address to listen on; throws boost::system::system_error if `address` is malformed.
[[nodiscard]] boost::asio::ip::tcp::endpoint endpoint_to_bind(const std::string& address);

/// Formats an endpoint as text that parse_address() accepts.
[[nodiscard]] std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace monsoonlift::transport::internal
