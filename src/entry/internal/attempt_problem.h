#pragma once

#include "entry/types/problem.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <optional>
#include <string>

namespace monsoonlift::entry::internal {

/// What the caller is told when its last attempt ended like this.
[[nodiscard]] problem problem_of(const transport::attempt_end& end);

/// What the caller is told when there is nowhere to send its call.
[[nodiscard]] problem problem_of(routing::no_route reason, const std::string& service);

/// Whether an attempt only told where the home of its key is or isn't.
[[nodiscard]] bool is_about_home(transport::end_reason reason);

/// Whether a call couldn't be sent since no backend server of its service can be reached.
[[nodiscard]] bool is_without_backend(const problem& trouble);

/// What a caller is told whose call was attempted more than once: never not_run if an earlier attempt may
/// have run, and not that no backend server is left if the earlier attempts say why.
[[nodiscard]] problem final_problem(const std::optional<problem>& earlier, const problem& last);

} // namespace monsoonlift::entry::internal
