/// Splits the text of a JSON list or map into the texts of its parts without parsing them, so that a
/// malformed part does not make the others unreadable.
#pragma once

#include <string_view>
#include <vector>

namespace monsoonlift::platform::internal {

/// Returns the texts of a list's elements, in order; none if the text is not a list.
[[nodiscard]] std::vector<std::string_view> elements_of(std::string_view list);

/// Returns the text of the value in the field `name`; empty if the text is not a map or has no such field.
/// Field names that contain escapes are not found.
[[nodiscard]] std::string_view value_at(std::string_view map, std::string_view name);

} // namespace monsoonlift::platform::internal
