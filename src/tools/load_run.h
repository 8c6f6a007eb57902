#pragma once

#include "tools/load_result.h"
#include "tools/types/scenario.h"

#include <functional>
#include <vector>

namespace monsoonlift::tools {

/// Told of each call that ended; called from several threads, one at a time.
using call_observer = std::function<void(const call_report&)>;

/// Runs the scenario to its end and gives one result for each class.
[[nodiscard]] std::vector<class_result> run_load(const scenario& run, const call_observer& observer);

} // namespace monsoonlift::tools
