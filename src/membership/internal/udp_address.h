#pragma once

#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>

namespace monsoonlift::membership::internal {

/// The endpoint of "ip:port" or "[ip]:port", or nothing if it is neither.
[[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> parse_endpoint(const std::string& text);

/// "ip:port", an IPv6 address in brackets.
[[nodiscard]] std::string to_text(const boost::asio::ip::udp::endpoint& endpoint);

} // namespace monsoonlift::membership::internal
