#pragma once

#include "entry/types/problem.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <optional>
#include <string>

namespace monsoonlift::entry::internal {

/// Makes the problem for a call whose last attempt ended with `end`.
[[nodiscard]] problem problem_of(const transport::attempt_end& end);

/// Makes the problem for a call for which routing found no endpoint.
[[nodiscard]] problem problem_of(routing::no_route reason, const std::string& service);

/// Whether the gate refused the attempt only because it is not, or doesn't know, the home of the key.
[[nodiscard]] bool is_about_home(transport::end_reason reason);

/// Whether the problem is that no backend server of the service can be reached.
[[nodiscard]] bool is_without_backend(const problem& trouble);

/// Chooses the problem for a call with several attempts: never not_run if an earlier attempt may have run,
/// and not "no backend server" if an earlier attempt gives the cause.
[[nodiscard]] problem final_problem(const std::optional<problem>& earlier, const problem& last);

} // namespace monsoonlift::entry::internal
