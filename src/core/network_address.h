/// Network addresses in the text form used in settings, messages and logs.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::core {

/// An IP address and a port.
struct network_address {
    boost::asio::ip::address ip;
    std::uint16_t port = 0;

    /// Converts the address to an endpoint of an Asio protocol, such as boost::asio::ip::tcp.
    template <class Protocol> [[nodiscard]] typename Protocol::endpoint endpoint() const {
        return {ip, port};
    }
};

/// Parses "ip:port" or "[ip]:port"; returns nothing if the text has neither form.
[[nodiscard]] std::optional<network_address> parse_network_address(std::string_view text);

/// Formats the address as "ip:port", with an IPv6 address in brackets.
[[nodiscard]] std::string to_string(const network_address& address);

} // namespace monsoonlift::core
