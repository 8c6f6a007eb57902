#include "core/network_address.h"

#include <charconv>

namespace monsoonlift::core {

namespace {

std::string_view without_brackets(std::string_view host) {
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return bracketed ? host.substr(1, host.size() - 2) : host;
}

std::optional<std::uint16_t> parse_port(std::string_view text) {
    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto [rest, wrong] = std::from_chars(text.data(), end, port);
    return wrong == std::errc() && rest == end ? std::optional(port) : std::nullopt;
}

} // namespace

std::optional<network_address> parse_network_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parse_port(text.substr(colon + 1));
    boost::system::error_code failure;
    const auto ip =
        boost::asio::ip::make_address(std::string(without_brackets(text.substr(0, colon))), failure);
    if (failure || !port) {
        return std::nullopt;
    }
    return network_address{ip, *port};
}

std::string to_string(const network_address& address) {
    const std::string host = address.ip.to_string();
    const std::string port = std::to_string(address.port);
    return address.ip.is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace monsoonlift::core
