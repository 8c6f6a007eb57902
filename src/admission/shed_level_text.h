#pragma once

#include "admission/types/shed_level.h"

#include <string>

namespace monsoonlift::admission {

/// "rank/bucket", as logs spell a threshold.
[[nodiscard]] std::string to_string(const shed_level& level);

} // namespace monsoonlift::admission
