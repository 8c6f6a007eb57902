/// Cuts the text of a JSON list or map into the texts of its parts without reading them, so that a part that
/// can't be read costs the others nothing.
#pragma once

#include <string_view>
#include <vector>

namespace monsoonlift::platform::internal {

/// The texts of a list's elements, in order; none if the text is no list.
[[nodiscard]] std::vector<std::string_view> elements_of(std::string_view list);

/// The text of the value at a field; empty if the text is no map or has no such field. Names with escapes are
/// not found.
[[nodiscard]] std::string_view value_at(std::string_view map, std::string_view name);

} // namespace monsoonlift::platform::internal
