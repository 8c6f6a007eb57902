#include "membership/internal/packed_address.h"

#include "core/network_address.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>
#include <cstdint>

namespace monsoonlift::membership::internal {

namespace {

namespace ip = boost::asio::ip;

constexpr std::size_t port_bytes = 2;
constexpr std::size_t packed_ip4_bytes = 6;
constexpr std::size_t packed_ip6_bytes = 18;

std::string bytes_of(const ip::address& address) {
    std::string bytes;
    if (address.is_v4()) {
        const auto raw = address.to_v4().to_bytes();
        bytes.assign(raw.begin(), raw.end());
    } else {
        const auto raw = address.to_v6().to_bytes();
        bytes.assign(raw.begin(), raw.end());
    }
    return bytes;
}

template <class Address> std::string text_of(const std::string& packed) {
    typename Address::bytes_type raw{};
    std::copy_n(packed.begin(), raw.size(), raw.begin());
    return Address(raw).to_string();
}

} // namespace

std::string pack_address(const std::string& text) {
    const auto address = core::parse_network_address(text);
    if (!address) {
        return {};
    }
    std::string packed = bytes_of(address->ip);
    packed.push_back(static_cast<char>(address->port >> 8));
    packed.push_back(static_cast<char>(address->port & 0xFF));
    return packed;
}

std::string pack_address_relative_to(const std::string& text, const std::string& reference) {
    const std::string packed = pack_address(text);
    const bool same_ip = packed.size() == reference.size() && packed.size() > port_bytes &&
                         std::equal(packed.begin(), packed.end() - port_bytes, reference.begin());
    return same_ip ? packed.substr(packed.size() - port_bytes) : packed;
}

std::string unpack_address(const std::string& packed) {
    if (packed.size() != packed_ip4_bytes && packed.size() != packed_ip6_bytes) {
        return {};
    }
    const auto high = static_cast<std::uint8_t>(packed[packed.size() - 2]);
    const auto low = static_cast<std::uint8_t>(packed[packed.size() - 1]);
    const std::string port = std::to_string(high * 256 + low);
    if (packed.size() == packed_ip4_bytes) {
        return text_of<ip::address_v4>(packed) + ":" + port;
    }
    return "[" + text_of<ip::address_v6>(packed) + "]:" + port;
}

std::string unpack_address_relative_to(const std::string& packed, const std::string& reference) {
    if (packed.size() != port_bytes || reference.size() <= port_bytes) {
        return unpack_address(packed);
    }
    return unpack_address(reference.substr(0, reference.size() - port_bytes) + packed);
}

} // namespace monsoonlift::membership::internal
