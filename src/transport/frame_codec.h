/// Encodes and decodes frames; the only code that depends on the wire format.
#pragma once

#include "core/clock.h"
#include "transport/types/frame.h"

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::transport {

/// Returns the encoded frame, after `room` zero bytes for the caller. Deadlines are written as the time left
/// at `now`.
[[nodiscard]] std::string encode(const frame& message, core::steady_time now, std::size_t room = 0);

/// Returns the decoded frame, or nothing if `bytes` are corrupt or hold a frame of an unknown kind. Deadlines
/// are computed from `now`.
[[nodiscard]] std::optional<frame> decode(std::string_view bytes, core::steady_time now);

/// Adds to an encoded frame how long it was held up after it had been encoded, which shortens its time left,
/// and whether it was written to an earlier connection.
void append_delay(std::string& bytes, std::chrono::microseconds held_up, bool rewritten);

} // namespace monsoonlift::transport
