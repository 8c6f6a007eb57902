#pragma once

#include <boost/asio/ip/udp.hpp>

#include <optional>
#include <string>

namespace monsoonlift::membership::internal {

/// Parses "ip:port" or "[ip]:port"; returns nothing for other text.
[[nodiscard]] std::optional<boost::asio::ip::udp::endpoint> parse_endpoint(const std::string& text);

/// Formats an endpoint as "ip:port", with an IPv6 address in brackets.
[[nodiscard]] std::string to_text(const boost::asio::ip::udp::endpoint& endpoint);

} // namespace monsoonlift::membership::internal
