#pragma once

#include "core/error.h"
#include "tools/types/fault_settings.h"

#include <string_view>

namespace monsoonlift::tools {

/// Parses the JSON object of POST /faults; faults that it doesn't name keep their value in `before`.
/// Unknown keys, wrong types and values out of range are errors.
[[nodiscard]] core::result<fault_settings> read_faults(std::string_view json, fault_settings before);

} // namespace monsoonlift::tools
