/// Encoding of frames; the only place that knows the wire format.
#pragma once

#include "core/clock.h"
#include "transport/types/frame.h"

#include <optional>
#include <string>
#include <string_view>

namespace monsoonlift::transport {

/// The bytes of a frame. Deadlines are written as time left at `now`.
[[nodiscard]] std::string encode(const frame& message, core::steady_time now);

/// The frame of these bytes, or nothing if they are corrupt or of an unknown kind.
[[nodiscard]] std::optional<frame> decode(std::string_view bytes, core::steady_time now);

} // namespace monsoonlift::transport
