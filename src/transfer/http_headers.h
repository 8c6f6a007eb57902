/// Which HTTP header fields travel from end to end.
#pragma once

#include <string_view>

namespace monsoonlift::transfer {

/// Prefix of the fields that belong to this system.
inline constexpr std::string_view own_header_prefix = "Monsoonlift-";

/// Whether the field concerns one connection only and must not be passed on.
[[nodiscard]] bool is_hop_by_hop(std::string_view name);

/// Whether a Connection field of that value lists the name, so that the field concerns one connection only.
[[nodiscard]] bool is_listed(std::string_view connection, std::string_view name);

/// Whether the field is one of this system's own.
[[nodiscard]] bool is_own(std::string_view name);

} // namespace monsoonlift::transfer
