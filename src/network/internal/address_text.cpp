#include "network/address_text.h"

#include "core/network_address.h"

#include <boost/system/system_error.hpp>

namespace monsoonlift::network {

boost::asio::ip::tcp::endpoint parse_address(const std::string& text) {
    const auto parsed = core::parse_network_address(text);
    if (!parsed) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, text);
    }
    return parsed->endpoint<boost::asio::ip::tcp>();
}

std::string to_text(const boost::asio::ip::tcp::endpoint& address) {
    return core::to_string({address.address(), address.port()});
}

} // namespace monsoonlift::network
