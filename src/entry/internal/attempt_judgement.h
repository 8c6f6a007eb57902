#pragma once

#include "entry/internal/attempt_counts.h"
#include "routing/routing_table.h"
#include "transport/types/frame.h"

#include <chrono>

namespace monsoonlift::entry::internal {

/// What routing learns from the end of an attempt. `answer_status` is that of the backend server's answer, 0
/// if none began. A server error counts as a failure, or a server that fails fast would seem to be the best
/// one; an answer that broke off because the caller had gone counts for nothing.
[[nodiscard]] routing::attempt_result judge_attempt(const transport::attempt_end& end, unsigned answer_status,
                                                    bool caller_gone, std::chrono::nanoseconds latency);

/// What the counts make of the end of an attempt.
[[nodiscard]] attempt_fate fate_of(transport::end_reason reason, unsigned answer_status);

} // namespace monsoonlift::entry::internal
