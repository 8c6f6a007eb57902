#pragma once

#include "tools/load_result.h"
#include "tools/types/scenario.h"

#include <functional>
#include <vector>

namespace monsoonlift::tools {

/// Receives each finished call; called from several threads, but never concurrently.
using call_observer = std::function<void(const call_report&)>;

/// Runs the scenario to its end and returns one result for each class of calls.
[[nodiscard]] std::vector<class_result> run_load(const scenario& run, const call_observer& observer);

} // namespace monsoonlift::tools
