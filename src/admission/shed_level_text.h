#pragma once

#include "admission/types/shed_level.h"

#include <string>

namespace monsoonlift::admission {

/// Formats a threshold as "rank/bucket", the form used in logs.
[[nodiscard]] std::string to_string(const shed_level& level);

} // namespace monsoonlift::admission
