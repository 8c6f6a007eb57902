#pragma once

#include <string>

namespace monsoonlift::membership::internal {

/// "ip:port" as 4 or 16 bytes of IP and 2 of port; empty if the text is no such address.
[[nodiscard]] std::string pack_address(const std::string& text);

/// The same, or the port alone if the IP is that of `reference`, itself packed.
[[nodiscard]] std::string pack_address_beside(const std::string& text, const std::string& reference);

/// "ip:port" of a packed address, or empty if it is malformed.
[[nodiscard]] std::string unpack_address(const std::string& packed);

/// The same for an address that may be a port alone.
[[nodiscard]] std::string unpack_address_beside(const std::string& packed, const std::string& reference);

} // namespace monsoonlift::membership::internal
