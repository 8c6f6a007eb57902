#pragma once

#include <string>

namespace monsoonlift::membership::internal {

/// Packs "ip:port" into 4 or 16 bytes of IP and 2 bytes of port; returns an empty string for other text.
[[nodiscard]] std::string pack_address(const std::string& text);

/// Packs "ip:port", but into the 2 bytes of port alone if the IP equals that of the packed `reference`.
[[nodiscard]] std::string pack_address_relative_to(const std::string& text, const std::string& reference);

/// Returns the "ip:port" of a packed address, or an empty string if it's malformed.
[[nodiscard]] std::string unpack_address(const std::string& packed);

/// Unpacks an address that may be only a port; the IP is then that of the packed `reference`.
[[nodiscard]] std::string unpack_address_relative_to(const std::string& packed, const std::string& reference);

} // namespace monsoonlift::membership::internal
