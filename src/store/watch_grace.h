/// How long an answer to a watch is awaited.
#pragma once

#include <algorithm>
#include <chrono>

namespace monsoonlift::store {

/// Time that the answer to a watch may take beyond the `patience` for which the watch itself waits; a watch
/// that takes longer has lost its connection, which may tell nothing of that.
[[nodiscard]] constexpr std::chrono::milliseconds watch_grace(std::chrono::milliseconds patience) {
    constexpr std::chrono::milliseconds shortest{200};
    constexpr std::chrono::milliseconds longest{2000};
    return std::clamp(patience / 2, shortest, longest);
}

} // namespace monsoonlift::store
