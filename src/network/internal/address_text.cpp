#include "network/address_text.h"

#include <cstdint>

namespace monsoonlift::network {

boost::asio::ip::tcp::endpoint parse_address(const std::string& text) {
    const auto colon = text.rfind(':');
    const auto port = static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1)));
    return {boost::asio::ip::make_address(text.substr(0, colon)), port};
}

std::string to_text(const boost::asio::ip::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace monsoonlift::network
