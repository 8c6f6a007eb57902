#pragma once

#include <string>
#include <vector>

#include "configuration/types/document.h"
#include "settings/yaml_reader.h"

namespace monsoonlift::configuration::internal {

/// Reads the list of services; faults go to the reader's error list. With `has_routes` a service may do
/// without calls of its own.
[[nodiscard]] std::vector<service_rule>
read_services(settings::yaml_reader& root, const std::vector<std::string>& classes, bool has_routes);

/// Reads a path prefix.
[[nodiscard]] std::string read_path(settings::yaml_reader& reader);

/// Reads one of the listed words.
[[nodiscard]] std::string read_listed(settings::yaml_reader& reader, std::string_view key,
                                      const std::vector<std::string>& allowed);

/// Position of a class in the list; 0 if it is not there.
[[nodiscard]] core::class_rank rank_of(const std::vector<std::string>& classes, const std::string& name);

/// Reads a name, made of letters, digits, "-" and "_".
[[nodiscard]] std::string read_name(settings::yaml_reader& reader, std::string_view key);

/// Whether a text is such a name.
[[nodiscard]] bool is_name(std::string_view text);

/// What is_name allows, for messages.
inline constexpr auto name_rule = "1 to 64 letters, digits, \"-\" or \"_\"";

} // namespace monsoonlift::configuration::internal
