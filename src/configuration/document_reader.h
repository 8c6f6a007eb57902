#pragma once

#include <string>
#include <variant>
#include <vector>

#include "configuration/types/document.h"
#include "settings/types/settings_error.h"

namespace monsoonlift::configuration {

/// Reads and checks a configuration text whole: either the document, or every error in it.
[[nodiscard]] std::variant<document, std::vector<settings::settings_error>>
read_document(const std::string& yaml_text);

} // namespace monsoonlift::configuration
