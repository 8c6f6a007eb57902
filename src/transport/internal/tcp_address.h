#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace monsoonlift::transport::internal {

/// The endpoint of "ip:port" ("[ip]:port" for IPv6), or nothing if the text is none.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> parse_address(const std::string& address);

/// The same of an address to listen on; throws boost::system::system_error if the text is none.
[[nodiscard]] boost::asio::ip::tcp::endpoint endpoint_to_bind(const std::string& address);

/// What parse_address() reads.
[[nodiscard]] std::string to_text(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace monsoonlift::transport::internal
