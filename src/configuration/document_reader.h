#pragma once

#include <string>
#include <variant>
#include <vector>

#include "configuration/limits.h"
#include "configuration/types/document.h"
#include "settings/types/settings_error.h"

namespace monsoonlift::configuration {

/// Parses and validates a configuration text. Returns the document, or every error found in it.
[[nodiscard]] std::variant<document, std::vector<settings::settings_error>>
read_document(const std::string& yaml_text, const document_limits& limits = submitted_limits);

} // namespace monsoonlift::configuration
