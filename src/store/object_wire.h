/// The JSON forms of the object API, shared by the client and the stand-in.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "store/object_api.h"

namespace monsoonlift::store {

/// {"name","version","value"}
[[nodiscard]] std::string to_json(const object& stored);

/// {"revision","objects":[...]}
[[nodiscard]] std::string to_json(const object_list& listed);

/// {"revision","changed":[...],"removed":[...]}
[[nodiscard]] std::string to_json(const watch_result& changes);

/// {"version"}
[[nodiscard]] std::string version_json(std::uint64_t version);

/// Parses an object; returns nothing if `text` is not JSON of that form.
[[nodiscard]] std::optional<object> parse_object(std::string_view text);

/// Parses a list of objects; returns nothing if `text` is not JSON of that form.
[[nodiscard]] std::optional<object_list> parse_object_list(std::string_view text);

/// Parses the result of a watch; returns nothing if `text` is not JSON of that form.
[[nodiscard]] std::optional<watch_result> parse_watch_result(std::string_view text);

/// Parses a version; returns nothing if `text` is not JSON of that form.
[[nodiscard]] std::optional<std::uint64_t> parse_version(std::string_view text);

} // namespace monsoonlift::store
