#pragma once

#include "settings/types/settings_error.h"
#include "tools/types/scenario.h"

#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::tools {

/// Parses and validates a scenario (YAML or JSON); returns either the scenario or all errors in it.
[[nodiscard]] std::variant<scenario, std::vector<settings::settings_error>>
read_scenario(const std::string& text);

} // namespace monsoonlift::tools
