/// Text and JSON of what the commands answer.
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

/// "2026-03-12T19:04:05Z"
[[nodiscard]] std::string utc_text(core::wall_time when);

/// One entry as lines for people.
[[nodiscard]] std::string entry_text(const configuration::audit_entry& entry);

/// Entries as JSON.
[[nodiscard]] boost::json::array entry_values(const std::vector<configuration::audit_entry>& entries);

/// One line for each fault.
[[nodiscard]] std::string error_text(const std::vector<settings::settings_error>& errors);

/// Faults as JSON.
[[nodiscard]] boost::json::array error_values(const std::vector<settings::settings_error>& errors);

/// Lines as JSON.
[[nodiscard]] boost::json::array line_values(const std::vector<std::string>& lines);

/// Lines, each on its own and indented.
[[nodiscard]] std::string indented(const std::vector<std::string>& lines);

/// The exit code for a failed call.
[[nodiscard]] exit_code exit_code_of(const core::error& failure);

} // namespace monsoonlift::monsoonctl
