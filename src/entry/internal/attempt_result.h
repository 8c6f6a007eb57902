#pragma once

#include "entry/internal/attempt_counts.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <chrono>

namespace monsoonlift::entry::internal {

/// Converts the end of an attempt to the result that routing records. `answer_status` is the status of the
/// backend server's answer, 0 if no answer began. A server error counts as a failure, or else a server that
/// fails fast would look like the best one; an answer aborted because the caller disconnected, or was too
/// slow to take it before the deadline (`is_due_to_caller`), is not counted.
[[nodiscard]] routing::attempt_result to_attempt_result(const transport::attempt_end& end,
                                                        unsigned answer_status, bool is_due_to_caller,
                                                        std::chrono::nanoseconds latency);

/// Returns the outcome under which the end of an attempt is counted; `answer_status` is 0 if no answer began.
[[nodiscard]] attempt_outcome_kind outcome_kind_of(transport::end_reason reason, unsigned answer_status);

} // namespace monsoonlift::entry::internal
