#pragma once

#include <string>
#include <vector>

#include "configuration/limits.h"
#include "configuration/types/document.h"
#include "settings/yaml_reader.h"

namespace monsoonlift::configuration::internal {

/// Reads the list of services; errors are added to the reader's error list. In a document with a list of
/// routes, even an empty one, a service may have no calls.
[[nodiscard]] std::vector<service_rule> read_services(settings::yaml_reader& root,
                                                      const std::vector<std::string>& classes,
                                                      const document_limits& limits);

/// Reads the path prefix at "path".
[[nodiscard]] std::string read_path(settings::yaml_reader& reader, const document_limits& limits);

/// Reads a string that must be one of `allowed`.
[[nodiscard]] std::string read_listed(settings::yaml_reader& reader, std::string_view key,
                                      const std::vector<std::string>& allowed);

/// Returns the position of a class in the list; 0 if it is not in the list.
[[nodiscard]] core::class_rank rank_of(const std::vector<std::string>& classes, const std::string& name);

/// Reads a name that satisfies is_name().
[[nodiscard]] std::string read_name(settings::yaml_reader& reader, std::string_view key,
                                    const document_limits& limits);

/// Whether a text is a name: letters, digits, "-" or "_" if the limits ask for plain text.
[[nodiscard]] bool is_name(std::string_view text, const document_limits& limits);

/// Description of a name in a submitted document, for error messages.
inline constexpr auto name_rule = "1 to 64 letters, digits, \"-\" or \"_\"";

} // namespace monsoonlift::configuration::internal
