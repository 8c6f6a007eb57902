/// Formats results of commands as text and as JSON.
#pragma once

#include <string>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "app/monsoonctl/types/exit_code.h"
#include "configuration/types/stored_configuration.h"
#include "core/error.h"
#include "settings/types/settings_error.h"

namespace monsoonlift::monsoonctl {

/// Formats a time as "2026-03-12T19:04:05Z".
[[nodiscard]] std::string utc_text(core::wall_time when);

/// Formats an audit entry as lines of text.
[[nodiscard]] std::string entry_text(const configuration::audit_entry& entry);

/// Converts audit entries to JSON.
[[nodiscard]] boost::json::array entry_values(const std::vector<configuration::audit_entry>& entries);

/// Formats errors, one line each.
[[nodiscard]] std::string error_text(const std::vector<settings::settings_error>& errors);

/// Converts errors to JSON.
[[nodiscard]] boost::json::array error_values(const std::vector<settings::settings_error>& errors);

/// Converts lines to a JSON array of strings.
[[nodiscard]] boost::json::array line_values(const std::vector<std::string>& lines);

/// Joins lines, each indented and ended by a line feed.
[[nodiscard]] std::string indented(const std::vector<std::string>& lines);

/// Returns a document's text with "(digest)" in place of every digest of an API key: 64 hexadecimal digits in
/// a row, or more. Such a text is no valid document, so that it can't be submitted by mistake.
[[nodiscard]] std::string without_key_digests(const std::string& document);

/// Returns the exit code for a failed call.
[[nodiscard]] exit_code exit_code_of(const core::error& failure);

} // namespace monsoonlift::monsoonctl
