/// Accessors for JSON maps from external sources; absent fields and those of another type read as nothing.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace monsoonlift::platform::internal {

/// Parses a text that is exactly one JSON map.
[[nodiscard]] std::optional<boost::json::object> parse_map(std::string_view text);

/// Parses a text that is exactly one unsigned whole number.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

/// Returns the map in the field `name`, or nullptr.
[[nodiscard]] const boost::json::object* find_map(const boost::json::object& map, std::string_view name);

/// Returns the list in the field `name`, or nullptr.
[[nodiscard]] const boost::json::array* find_list(const boost::json::object& map, std::string_view name);

/// Returns the string in the field `name`.
[[nodiscard]] std::optional<std::string_view> find_text(const boost::json::object& map,
                                                        std::string_view name);

/// Returns the whole number in the field `name` if it is from 0 to `most`.
[[nodiscard]] std::optional<std::uint64_t>
find_number(const boost::json::object& map, std::string_view name,
            std::uint64_t most = std::numeric_limits<std::uint64_t>::max());

/// Returns whether the field `name` is present and true.
[[nodiscard]] bool is_true(const boost::json::object& map, std::string_view name);

} // namespace monsoonlift::platform::internal
