/// Time-out for the answer to a watch.
#pragma once

#include <algorithm>
#include <chrono>

namespace monsoonlift::store {

/// Time allowed for the answer to a watch beyond the `patience` for which the server holds the watch open. A
/// watch without an answer by then has lost its connection, which may produce no error.
[[nodiscard]] constexpr std::chrono::milliseconds watch_grace(std::chrono::milliseconds patience) {
    constexpr std::chrono::milliseconds shortest{200};
    constexpr std::chrono::milliseconds longest{2000};
    return std::clamp(patience / 2, shortest, longest);
}

} // namespace monsoonlift::store
