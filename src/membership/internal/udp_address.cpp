#include "membership/internal/udp_address.h"

#include "core/network_address.h"

namespace monsoonlift::membership::internal {

using boost::asio::ip::udp;

std::optional<udp::endpoint> parse_endpoint(const std::string& text) {
    const auto parsed = core::parse_network_address(text);
    return parsed ? std::optional(parsed->endpoint<udp>()) : std::nullopt;
}

std::string to_text(const udp::endpoint& endpoint) {
    return core::to_string({endpoint.address(), endpoint.port()});
}

} // namespace monsoonlift::membership::internal
