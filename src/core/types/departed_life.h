#pragma once

#include <cstdint>
#include <string>

namespace monsoonlift::core {

/// A start of a backend server that said that it leaves.
struct departed_life {
    std::string id;               ///< Name; may be used by the next start again.
    std::uint64_t started_ms = 0; ///< Unix time of the start; 0 if nobody told it.
    std::uint64_t heard_ms = 0;   ///< Unix time of the farewell, by the clock of the daemon that heard it.

    bool operator==(const departed_life&) const = default;
};

} // namespace monsoonlift::core
