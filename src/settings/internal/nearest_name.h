#pragma once

#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::settings::internal {

/// Returns the known name closest to `name` by edit distance; nothing if that distance exceeds both 2 and a
/// third of the name's length.
[[nodiscard]] std::optional<std::string> nearest_name(const std::string& name,
                                                      const std::vector<std::string>& known);

} // namespace monsoonlift::settings::internal
