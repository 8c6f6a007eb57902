#include "transport/internal/tcp_address.h"

#include "core/network_address.h"

namespace monsoonlift::transport::internal {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_address(const std::string& address) {
    const auto parsed = core::parse_network_address(address);
    return parsed ? std::optional(parsed->endpoint<tcp>()) : std::nullopt;
}

tcp::endpoint endpoint_to_bind(const std::string& address) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, address);
    }
    return *parsed;
}

std::string to_text(const tcp::endpoint& endpoint) {
    return core::to_string({endpoint.address(), endpoint.port()});
}

} // namespace monsoonlift::transport::internal
