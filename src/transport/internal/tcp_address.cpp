#include "transport/internal/tcp_address.h"

#include <charconv>
#include <cstdint>
#include <sstream>
#include <string_view>

namespace monsoonlift::transport::internal {

using boost::asio::ip::tcp;

std::optional<tcp::endpoint> parse_address(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    const std::string_view port_text = std::string_view(address).substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, wrong] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (wrong != std::errc() || end != port_text.data() + port_text.size()) {
        return std::nullopt;
    }
    std::string host = address.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    const auto ip = boost::asio::ip::make_address(host, failure);
    if (failure) {
        return std::nullopt;
    }
    return tcp::endpoint(ip, port);
}

tcp::endpoint endpoint_to_bind(const std::string& address) {
    const auto parsed = parse_address(address);
    if (!parsed) {
        throw boost::system::system_error(boost::asio::error::invalid_argument, address);
    }
    return *parsed;
}

std::string to_text(const tcp::endpoint& endpoint) {
    std::ostringstream text;
    text << endpoint;
    return text.str();
}

} // namespace monsoonlift::transport::internal
