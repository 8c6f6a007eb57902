#pragma once

#include "core/error.h"

#include <string>
#include <string_view>

#include <boost/asio/ip/tcp.hpp>

namespace monsoonlift::tools {

/// Parses an address of the form "ip:port".
[[nodiscard]] core::result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text);

/// Formats an address as "ip:port".
[[nodiscard]] std::string to_string(const boost::asio::ip::tcp::endpoint& address);

} // namespace monsoonlift::tools
