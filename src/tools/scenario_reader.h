#pragma once

#include "settings/types/settings_error.h"
#include "tools/types/scenario.h"

#include <string>
#include <variant>
#include <vector>

namespace monsoonlift::tools {

/// Reads and checks a scenario text (YAML or JSON) whole: either the scenario, or every error in it.
[[nodiscard]] std::variant<scenario, std::vector<settings::settings_error>>
read_scenario(const std::string& text);

} // namespace monsoonlift::tools
