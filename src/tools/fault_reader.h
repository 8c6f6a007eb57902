#pragma once

#include "core/error.h"
#include "tools/types/fault_settings.h"

#include <string_view>

namespace monsoonlift::tools {

/// Reads the JSON object of POST /faults over the faults set so far; unknown keys and wrong types are errors.
[[nodiscard]] core::result<fault_settings> read_faults(std::string_view json, fault_settings before);

} // namespace monsoonlift::tools
