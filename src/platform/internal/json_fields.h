/// Fields of JSON maps that come from outside; what is absent or of another type reads as nothing.
#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

namespace monsoonlift::platform::internal {

/// The map that a whole text is.
[[nodiscard]] std::optional<boost::json::object> parse_map(std::string_view text);

/// The whole number that a whole text is.
[[nodiscard]] std::optional<std::uint64_t> parse_number(std::string_view text);

/// The map at a field, or nullptr.
[[nodiscard]] const boost::json::object* find_map(const boost::json::object& map, std::string_view name);

/// The list at a field, or nullptr.
[[nodiscard]] const boost::json::array* find_list(const boost::json::object& map, std::string_view name);

/// The text at a field.
[[nodiscard]] std::optional<std::string_view> find_text(const boost::json::object& map,
                                                        std::string_view name);

/// The whole number at a field, from 0 to `most`.
[[nodiscard]] std::optional<std::uint64_t>
find_number(const boost::json::object& map, std::string_view name,
            std::uint64_t most = std::numeric_limits<std::uint64_t>::max());

/// Whether a field is there and true.
[[nodiscard]] bool is_true(const boost::json::object& map, std::string_view name);

} // namespace monsoonlift::platform::internal
