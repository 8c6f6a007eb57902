/// Limits how long a connection to the backend server may have been idle when it is reused. Guards against
/// backend servers that drop idle connections silently: a request sent on such a connection is lost, and the
/// gate can't tell whether it ran.
#pragma once

#include "transport/types/frame.h"

#include <chrono>

namespace monsoonlift::gate {

/// Every backend server keeps idle connections open for at least this long.
inline constexpr std::chrono::milliseconds safe_idle_time{100};

/// No connection is reused after this idle time, as few backend servers keep one that long.
inline constexpr std::chrono::milliseconds max_idle_time{60'000};

/// Whether the gate can resend the request: it is idempotent and its complete body came with its head.
[[nodiscard]] bool is_resendable(const transport::request_head& head);

/// Returns the longest idle time of a connection on which the request may be sent.
[[nodiscard]] std::chrono::milliseconds idle_limit(const transport::request_head& head);

} // namespace monsoonlift::gate
