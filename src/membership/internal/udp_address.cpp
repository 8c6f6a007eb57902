#include "membership/internal/udp_address.h"

#include <charconv>
#include <cstdint>

namespace monsoonlift::membership::internal {

using boost::asio::ip::udp;

std::optional<udp::endpoint> parse_endpoint(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[') {
        host = host.substr(1, host.size() - 2);
    }
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    boost::system::error_code fault;
    const auto address = boost::asio::ip::make_address(host, fault);
    if (fault || parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return udp::endpoint(address, port);
}

std::string to_text(const udp::endpoint& endpoint) {
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace monsoonlift::membership::internal
