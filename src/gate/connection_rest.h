/// How long a connection to the backend server may have been idle for a request to be sent on it. Answers
/// backend servers that forget idle connections without notice: what is sent on such a connection is lost,
/// and nothing tells whether it ran.
#pragma once

#include "transport/types/frame.h"

#include <chrono>

namespace monsoonlift::gate {

/// Idle connections are kept this long by every backend server.
inline constexpr std::chrono::milliseconds sure_rest{100};

/// No connection is used after this time, as few backend servers keep one that long.
inline constexpr std::chrono::milliseconds most_rest{60'000};

/// Whether the gate can send the request once more: it may run twice, and its body is there as a whole.
[[nodiscard]] bool can_send_again(const transport::request_head& head);

/// The longest time for which the request's connection may have been idle.
[[nodiscard]] std::chrono::milliseconds longest_rest(const transport::request_head& head);

} // namespace monsoonlift::gate
