#include "tools/network_address.h"

#include "core/network_address.h"

namespace monsoonlift::tools {

core::result<boost::asio::ip::tcp::endpoint> parse_address(std::string_view text) {
    const auto parsed = core::parse_network_address(text);
    if (!parsed) {
        return core::fail(
            core::error{core::error_code::invalid_input,
                        "\"" + std::string(text) + "\" is not a valid address; expected ip:port",
                        core::verdict::not_run});
    }
    return parsed->endpoint<boost::asio::ip::tcp>();
}

std::string to_string(const boost::asio::ip::tcp::endpoint& address) {
    return core::to_string({address.address(), address.port()});
}

} // namespace monsoonlift::tools
