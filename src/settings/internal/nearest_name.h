#pragma once

#include <optional>
#include <string>
#include <vector>

namespace monsoonlift::settings::internal {

/// The known name closest to `name` by edit distance, or nothing if none is near.
[[nodiscard]] std::optional<std::string> nearest_name(const std::string& name,
                                                      const std::vector<std::string>& known);

} // namespace monsoonlift::settings::internal
