/// Addresses as settings, messages and logs spell them.
#pragma once

#include <boost/asio/ip/address.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::core {

/// An ip and a port.
struct network_address {
    boost::asio::ip::address ip;
    std::uint16_t port = 0;

    /// The same for a protocol of Asio, such as boost::asio::ip::tcp.
    template <class Protocol> [[nodiscard]] typename Protocol::endpoint endpoint() const {
        return {ip, port};
    }
};

/// Reads "ip:port" or "[ip]:port"; nothing if the text is neither.
[[nodiscard]] std::optional<network_address> parse_network_address(std::string_view text);

/// "ip:port", an IPv6 address in brackets.
[[nodiscard]] std::string to_string(const network_address& address);

} // namespace monsoonlift::core
