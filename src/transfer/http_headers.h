/// Classification of HTTP header fields: end-to-end, hop-by-hop, or reserved by Monsoonlift.
#pragma once

#include <string_view>

namespace monsoonlift::transfer {

/// Prefix of the header fields that are reserved by Monsoonlift.
inline constexpr std::string_view own_header_prefix = "Monsoonlift-";

/// Whether the header field is hop-by-hop and must not be forwarded.
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// Whether a Connection field with the value `connection` lists `name`, which makes that field hop-by-hop.
[[nodiscard]] bool is_listed(std::string_view connection, std::string_view name);

/// Whether the header field name has the prefix reserved by Monsoonlift.
[[nodiscard]] bool is_own(std::string_view name);

} // namespace monsoonlift::transfer
