#include "tools/network_address.h"

#include <charconv>
#include <cstdint>

#include <boost/asio/ip/address.hpp>

namespace monsoonlift::tools {

core::result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text) {
    const core::error invalid{core::error_code::invalid_input,
                              "\"" + std::string(text) + "\" is no address; allowed: ip:port",
                              core::verdict::not_run};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return core::fail(invalid);
    }
    boost::system::error_code error;
    const auto ip = boost::asio::ip::make_address(std::string(text.substr(0, colon)), error);
    std::uint16_t port = 0;
    const auto* last = text.data() + text.size();
    const auto [end, fault] = std::from_chars(text.data() + colon + 1, last, port);
    if (error || fault != std::errc() || end != last) {
        return core::fail(invalid);
    }
    return boost::asio::ip::tcp::endpoint(ip, port);
}

std::string to_string(const boost::asio::ip::tcp::endpoint& address) {
    return address.address().to_string() + ":" + std::to_string(address.port());
}

} // namespace monsoonlift::tools
